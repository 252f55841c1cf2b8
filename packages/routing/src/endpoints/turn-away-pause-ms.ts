/**
The part of the rejections that a brittle endpoint bears which hosts use up. The rest is for hosts that are not listed yet, and for requests that
were under way when the first one was turned away.
*/
const usedShare = 0.5;

/**
Returns for how long a host sends nothing to a brittle endpoint for each request that the endpoint turned away, in ms. Pure.

Each host then has at most one request turned away in that time, so all of them together stay below what the endpoint bears, and no messages are needed.

@param perSecond How many requests a second the endpoint may turn away before it crashes; above 0.
@param hosts The number of hosts that may send to it.
*/
export const turnAwayPauseMs = (perSecond: number, hosts: number): number => (1000 * hosts) / (perSecond * usedShare);
