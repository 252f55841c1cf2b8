import type {HoldAhead} from './hold-ahead.js';

/** The most that one holder holds, in equal shares: others may have demand that is not recorded yet. */
const mostShares = 3;

/** How far ahead a single host holds rights. */
type HoldAheadByRateSettings = {
	/** The part of what remains of a budget that all holders together hold, 0 to 1. */
	readonly shareOfRest: number;
	/** No more than this many seconds of the holder's own demand. */
	readonly horizonSeconds: number;
	/** The part of `shareOfRest` that a holder without demand of its own holds ready, 0 to 1. */
	readonly idleShare: number;
};

/**
Holds a part of what remains, by the holder's part of the demand, and never more than a time of its own demand.

A part of what remains shrinks with the budget, so that no host corners its last tokens, and needs no knowledge
of how long the budget has to last. The horizon keeps what a dead host strands within bounds.
*/
export const holdAheadByRate = ({shareOfRest, horizonSeconds, idleShare}: HoldAheadByRateSettings): HoldAhead => view => {
	const part = view.remaining * shareOfRest;
	const idle = part * idleShare / view.halls;
	const share = Math.min(view.demandShare, mostShares / view.halls);
	const busy = Math.min(part * share, view.tokensPerSecond * horizonSeconds);
	return Math.ceil(Math.max(view.missing, Math.max(idle, busy) - view.available));
};
