/**
The part of an endpoint's limit that a coordinator hands out, by its rank. Hosts that cannot reach the first ask the second, while
others may still be served by the first: both together stay within a quarter above the limit, whoever reaches whom.
*/
const sharesByRank = [1, 0.25];

/** Permits a second for an endpoint that wants fewer or none, so that its answers still tell when the limit ends. */
const minPerSecond = 0.1;

/** How many permits a second a coordinator hands out for an endpoint; 0 where it is none. Pure. */
export const permitRate = (limitPerSecond: number, rank: number): number =>
	Math.max(minPerSecond, limitPerSecond) * (sharesByRank[rank] ?? 0);
