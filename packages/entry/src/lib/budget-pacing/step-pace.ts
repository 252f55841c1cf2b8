import type {Pace} from './pace.js';

/** A host may catch up on so much of its part, in seconds of the pace: requests come in bursts. */
const burstSeconds = 3;

/**
A host may spend this many times as fast as would use its part up evenly. What is left then falls with the square of the time that
remains: three quarters go to the callers of the first half of the time, a fifth to those of its third quarter, and little is left
unused.
*/
const frontLoad = 2;

/**
Of the most that can be saved up, a host has this part at first: what is small beside the pace is served at once. With all of it, the
first request at each host would pass whatever its size.
*/
const firstPart = 0.5;

/** The shortest time over which anything is spread, in seconds: the last of it is not worth a rule. */
const leastSeconds = 1;

type Inputs = {
	/** What is neither spent nor set aside for open requests of any host, by the newest record, in tokens. */
	readonly left: number;
	/** How long that has to last, in seconds. */
	readonly lasting: number;
	/** This host's part of the demand on the budget, 0 to 1. */
	readonly share: number;
	/** Monotonic ms. */
	readonly now: number;
};

/** Moves a host's pace on one budget on to `now`. Pure. */
export const stepPace = (pace: Pace | undefined, {left, lasting, share, now}: Inputs): Pace => {
	const perSecond = Math.max(0, left) * share * frontLoad / Math.max(leastSeconds, lasting);
	const most = perSecond * burstSeconds;
	const allowed = pace === undefined ? most * firstPart : Math.min(most, pace.allowed + (perSecond * (now - pace.at) / 1000));
	return {allowed, most, at: now};
};
