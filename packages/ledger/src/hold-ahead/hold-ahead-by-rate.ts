import type {HoldAhead} from './hold-ahead.js';

/**
The most that one holder holds, in equal shares of `shareOfRest`: others may have demand that is not recorded yet.
Chosen without a measurement of its own.
*/
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

The entry host on a platform holds by this policy: its holders are hosts, which die more often than a pair of hosts of
`deckwheeld` (`holdAheadByShare`), and what a dead host held stays charged.
*/
export const holdAheadByRate = ({shareOfRest, horizonSeconds, idleShare}: HoldAheadByRateSettings): HoldAhead => view => {
	const part = view.remaining * shareOfRest;
	const idle = part * idleShare / view.holders;
	const share = Math.min(view.demandShare, mostShares / view.holders);
	const busy = Math.min(part * share, view.tokensPerSecond * horizonSeconds);
	return Math.ceil(Math.max(idle, busy));
};
