import type {DemandView} from './demand-view.js';
import type {HoldingPolicy} from './holding-policy.js';

/**
The most that one holder holds, in equal shares of `shareOfRest`: others may have demand that is not recorded yet.
*/
const mostShares = 3;

/** How far ahead holders hold while what the store has left lasts for long. */
type LongRest = {
	/** The part of the time that it lasts which is held ahead, 0 to 1. */
	readonly share: number;
	/** The most, in horizons. */
	readonly mostHorizons: number;
};

/** How far ahead a single host holds rights. */
type RateHoldingSettings = {
	/** The part of what remains of a budget that all holders together hold, 0 to 1. */
	readonly shareOfRest: number;
	/** No more than this many seconds of the holder's own demand. */
	readonly horizonSeconds: number;
	/** How the horizon grows while the store has much left; it stays as it is without. */
	readonly longRest?: LongRest;
	/** The part of what all hold that holders without demand of their own hold ready, together, 0 to 1. */
	readonly idleShare: number;
};

/** By how much the horizon grows, at least 1. */
const horizonStretch = ({unallocated, fleetTokensPerSecond}: DemandView, {share, mostHorizons}: LongRest, horizonSeconds: number): number => {
	const lastsSeconds = fleetTokensPerSecond > 0 ? unallocated / fleetTokensPerSecond : 0;
	return Math.max(1, Math.min(mostHorizons, lastsSeconds * share / horizonSeconds));
};

/**
Holds a part of what remains, by the holder's part of the demand, and never more than a time of its own demand.

A part of what remains shrinks with the budget, so that no host corners its last tokens, and needs no knowledge
of how long the budget has to last. The horizon keeps what a dead host strands within bounds.

While what the store has left lasts for long, an outage refuses requests that nobody else would miss the rights of; so the horizon grows
with that time (`longRest`), and is back to its length before the budget runs out.

A holder without demand of its own holds its share of what the whole demand takes in that horizon, and at least one request
of the largest size it has seen, so that a cut finds it ready. Bounded by what remains alone, the deaths of a hardly used
budget's hosts left little of it: ten deaths of a single host took 67 of 100 tokens (`rights-after-crashes`).

The entry host on a platform holds by this policy: its holders are hosts, which die more often than a pair of hosts of
`deckwheeld` (`holdingPolicyByShare`), and what a dead host held stays charged.

@param horizon How many seconds of its own demand it holds at the moment.
@param largestRequest The largest request that this holder has seen on any budget, in tokens; 0 while it has seen none.
*/
export const holdingPolicyByRate = ({shareOfRest, horizonSeconds, longRest, idleShare}: RateHoldingSettings, largestRequest = () => 0, horizon = () => horizonSeconds): HoldingPolicy => view => {
	const aheadSeconds = horizon() * (longRest ? horizonStretch(view, longRest, horizonSeconds) : 1);
	const part = view.remaining * shareOfRest;
	const idlePart = part * idleShare / view.holders;
	const idleAhead = view.fleetTokensPerSecond * aheadSeconds * idleShare / view.holders;
	const idle = Math.min(idlePart, Math.max(idleAhead, largestRequest()));
	const share = Math.min(view.demandShare, mostShares / view.holders);
	const busy = Math.min(part * share, view.tokensPerSecond * aheadSeconds);
	return Math.ceil(Math.max(idle, busy));
};
