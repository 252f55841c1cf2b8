/**
The part of an endpoint's limit that a coordinator hands out, by its rank. Hosts that cannot reach the first ask the second, while
others may still be served by the first: both together stay within a quarter above the limit, whoever reaches whom.
*/
const shares = [1, 0.25];

/** Permits a second for an endpoint that wants fewer or none, so that its answers still tell when the limit ends. */
const leastPerSecond = 0.1;

/** How many permits a second a coordinator hands out for an endpoint; 0 where it is none. Pure. */
export const permitRate = (limitPerSecond: number, rank: number): number =>
	Math.max(leastPerSecond, limitPerSecond) * (shares[rank] ?? 0);
