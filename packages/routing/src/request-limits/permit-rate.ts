/**
The share of an endpoint's limit that a coordinator hands out, by the coordinator's rank. Hosts that cannot reach the first
coordinator ask the second, while other hosts may still get permits from the first. Both together exceed the limit by a quarter at
most, whichever hosts can reach which coordinator.
*/
const sharesByRank = [1, 0.25];

/** The minimum rate of permits, also for an endpoint whose limit is lower or 0, so that the endpoint's responses still show when its limit ends. */
const minPerSecond = 0.1;

/**
Returns how many permits a second a host hands out for an endpoint. Pure.

@param limitPerSecond The endpoint's limit on requests of all hosts together.
@param rank The host's rank among the endpoint's coordinators, from 0. For any other host the result is 0.
*/
export const permitRate = (limitPerSecond: number, rank: number): number =>
	Math.max(minPerSecond, limitPerSecond) * (sharesByRank[rank] ?? 0);
