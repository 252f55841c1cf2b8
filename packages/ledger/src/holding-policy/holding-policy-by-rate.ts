import type {DemandView} from './demand-view.js';
import type {HoldingPolicy} from './holding-policy.js';

/**
Limits one holder to this many equal shares (`1 / holders`) of what all holders together hold, since other holders may have
demand that the store does not record yet.
*/
const maxShares = 3;

/** How far ahead holders hold while the unallocated tokens in the store last much longer than the horizon. */
type LongRest = {
	/** The share of the time that the unallocated tokens last for which a holder holds rights ahead, 0 to 1. */
	readonly share: number;
	/** The largest factor by which the horizon grows. */
	readonly mostHorizons: number;
};

/** How many rights a single host holds. */
type RateHoldingSettings = {
	/** The share of a budget's unspent tokens (`remaining`) that all holders together hold, 0 to 1. */
	readonly shareOfRest: number;
	/** A holder holds no more than its own demand of this many seconds. */
	readonly horizonSeconds: number;
	/** How the horizon grows while the store has many unallocated tokens. Without this setting the horizon does not grow. */
	readonly longRest?: LongRest;
	/** The share of what all holders hold that is split equally among them, whether a holder has demand or not, 0 to 1. */
	readonly idleShare: number;
};

/** The factor by which the horizon grows, at least 1. */
const horizonFactor = ({unallocated, fleetTokensPerSecond}: DemandView, {share, mostHorizons}: LongRest, horizonSeconds: number): number => {
	const lastsSeconds = fleetTokensPerSecond > 0 ? unallocated / fleetTokensPerSecond : 0;
	return Math.max(1, Math.min(mostHorizons, lastsSeconds * share / horizonSeconds));
};

/**
Creates a policy by which a holder holds a share of a budget's unspent tokens in proportion to its demand, limited to its own
demand over a horizon.

A share of the unspent tokens shrinks with the budget, so that no host takes the last tokens alone, and the policy needs no
knowledge of how long the budget has to last. The horizon bounds the rights that a crashed host strands.

While the unallocated tokens last much longer than the horizon, a holder that runs out of rights during an outage of the store
refuses requests although no other holder needs those tokens. So the horizon grows with the time that they last (`longRest`), and
is back at `horizonSeconds` before the budget runs out.

A holder without demand of its own holds its equal part of what the demand of all holders takes over the horizon, and at least
one request of the largest size that it has seen, so that it can serve during an outage of the store. Both are limited to its
equal part of `idleShare` of what all holders hold. When this limit alone decided what an idle holder held, crashes used up
budgets with hardly any demand: ten crashes of a single host took 67 of 100 tokens (`rights-after-crashes`).

The entry host on a platform uses this policy: its holders are hosts, which crash more often than both hosts of a pair of
`deckwheeld` (`holdingPolicyByShare`) at once, and what a crashed host held stays charged.

@param largestRequest The largest request that this holder has seen on any budget, in tokens; 0 while it has seen none.
@param horizon The current horizon in seconds, before `longRest` extends it.
*/
export const holdingPolicyByRate = ({shareOfRest, horizonSeconds, longRest, idleShare}: RateHoldingSettings, largestRequest = () => 0, horizon = () => horizonSeconds): HoldingPolicy => view => {
	const aheadSeconds = horizon() * (longRest ? horizonFactor(view, longRest, horizonSeconds) : 1);
	const fleetTarget = view.remaining * shareOfRest;
	const idleLimit = fleetTarget * idleShare / view.holders;
	const idleDemand = view.fleetTokensPerSecond * aheadSeconds * idleShare / view.holders;
	const idleTarget = Math.min(idleLimit, Math.max(idleDemand, largestRequest()));
	const share = Math.min(view.demandShare, maxShares / view.holders);
	const demandTarget = Math.min(fleetTarget * share, view.tokensPerSecond * aheadSeconds);
	return Math.ceil(Math.max(idleTarget, demandTarget));
};
