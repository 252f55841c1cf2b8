import {borrowAheadSeconds} from './borrow-ahead-seconds.js';
import {keptTokens} from './kept-tokens.js';

/** Idle rights of up to this many tokens are kept, since they are not worth a message. */
const minSurplusTokens = 500;

type Inputs = {
	/** Tokens that the host can still reserve. */
	readonly available: number;
	/** The host's own demand, in tokens a second. */
	readonly rate: number;
	/** Tokens that the waiting requests need, or that the last request needed. */
	readonly tokens: number;
};

type BorrowingPlan = {
	/** Tokens to borrow. */
	readonly wanted: number;
	/** Idle tokens to hand back. */
	readonly surplus: number;
};

/**
Decides how much a host that does not draw for itself borrows, and how much it hands back. Pure.

The host borrows ahead only if its demand is steady, so that the next request of the same size is due soon. Otherwise small remainders at many
hosts would add up to a part of the budget that serves no request.
*/
export const planBorrowing = ({available, rate, tokens}: Inputs): BorrowingPlan => {
	const kept = keptTokens({rate, tokens});
	const ahead = kept > 0 ? rate * borrowAheadSeconds : 0;
	const idle = Math.floor(available - kept);
	return {
		wanted: Math.max(0, Math.ceil(tokens - available + ahead)),
		surplus: idle > minSurplusTokens ? idle : 0,
	};
};
