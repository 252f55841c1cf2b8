/** Seconds of its own demand that a host borrows beyond what a request lacks. */
const borrowSeconds = 1.5;

/** Seconds of its own demand that it keeps at most: twice what it borrows, so that rights do not go to and fro. */
const keepSeconds = 3;

/** Idle rights this small are not worth a message, in tokens. */
const keepTokens = 500;

type Inputs = {
	/** Tokens that the host may still reserve. */
	readonly available: number;
	/** The host's own demand, in tokens a second. */
	readonly rate: number;
	/** What the request needs, or the last one needed. */
	readonly tokens: number;
};

type BorrowingPlan = {
	/** What to ask for. */
	readonly wanted: number;
	/** What is idle and may go back. */
	readonly surplus: number;
};

/**
Decides how much a host that does not draw for itself borrows, and what it hands back.

It borrows ahead only where the next request of this size is due soon. Elsewhere small remainders at many hosts
would add up to a part of the budget that serves nobody.
*/
export const planBorrowing = ({available, rate, tokens}: Inputs): BorrowingPlan => {
	const isSteady = tokens > 0 && rate * borrowSeconds >= tokens;
	const ahead = isSteady ? rate * borrowSeconds : 0;
	const kept = isSteady ? rate * keepSeconds : 0;
	const idle = Math.floor(available - kept);
	return {
		wanted: Math.max(0, Math.ceil(tokens - available + ahead)),
		surplus: idle > keepTokens ? idle : 0,
	};
};
