import type {Pace} from './pace.js';

/** How much unused allowance a host may save up, in seconds of its pace: requests come in bursts. */
const burstSeconds = 3;

/**
How many times faster a host may spend its part of the budget than evenly over the time. What is left then falls with the square of the
time that remains: three quarters go to the callers of the first half of the time, a fifth to those of its third quarter, and little stays
unused.
*/
const frontLoadFactor = 2;

/**
The part of the maximal allowance that a host starts with, 0 to 1. With it, requests that are small in comparison with the pace are
served at once. With the whole of it, the first request at each host would be served whatever its size.
*/
const initialPart = 0.5;

/** The shortest time over which tokens are spread, in seconds. In the last second of the spread the pace no longer rises. */
const minSpreadSeconds = 1;

type Inputs = {
	/** Tokens that are neither spent nor reserved for open requests of any host, by the newest record of the store. */
	readonly uncommitted: number;
	/** How long `uncommitted` has to last, in seconds. */
	readonly spreadSeconds: number;
	/** This host's part of the demand on the budget, 0 to 1. */
	readonly demandShare: number;
	/** Monotonic ms. */
	readonly now: number;
};

/**
Advances a host's pace on one budget to `now`, at which the allowance has grown with the time that passed. Pure.

@param pace The previous pace; `undefined` at the first step.
*/
export const stepPace = (pace: Pace | undefined, {uncommitted, spreadSeconds, demandShare, now}: Inputs): Pace => {
	const tokensPerSecond = Math.max(0, uncommitted) * demandShare * frontLoadFactor / Math.max(minSpreadSeconds, spreadSeconds);
	const maxAllowance = tokensPerSecond * burstSeconds;
	const allowance = pace === undefined ? maxAllowance * initialPart : Math.min(maxAllowance, pace.allowance + (tokensPerSecond * (now - pace.updatedAt) / 1000));
	return {allowance, maxAllowance, updatedAt: now};
};
