import type {Pace} from './pace.js';

/** A host may catch up on so much of its part, in seconds of the pace: requests come in bursts. */
const burstSeconds = 3;

/**
A host may spend this many times as fast as would use its part up evenly. What is left then falls with the square of the time that
remains: three quarters go to the callers of the first half of the time, a fifth to those of its third quarter, and little is left
unused.
*/
const frontLoadFactor = 2;

/**
Of the most that can be saved up, a host has this part at first: what is small beside the pace is served at once. With all of it, the
first request at each host would pass whatever its size.
*/
const initialPart = 0.5;

/** The shortest time over which anything is spread, in seconds: the last of it is not worth a rule. */
const minSpreadSeconds = 1;

type Inputs = {
	/** What is neither spent nor set aside for open requests of any host, by the newest record, in tokens. */
	readonly uncommitted: number;
	/** How long that has to last, in seconds. */
	readonly spreadSeconds: number;
	/** This host's part of the demand on the budget, 0 to 1. */
	readonly demandShare: number;
	/** Monotonic ms. */
	readonly now: number;
};

/** Moves a host's pace on one budget on to `now`. Pure. */
export const stepPace = (pace: Pace | undefined, {uncommitted, spreadSeconds, demandShare, now}: Inputs): Pace => {
	const tokensPerSecond = Math.max(0, uncommitted) * demandShare * frontLoadFactor / Math.max(minSpreadSeconds, spreadSeconds);
	const maxAllowance = tokensPerSecond * burstSeconds;
	const allowance = pace === undefined ? maxAllowance * initialPart : Math.min(maxAllowance, pace.allowance + (tokensPerSecond * (now - pace.updatedAt) / 1000));
	return {allowance, maxAllowance, updatedAt: now};
};
