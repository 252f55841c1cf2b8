/**
The backlog above which the most urgent requests are refused, in ms. Responses last longer than this, so that such a backlog is carried while
they run and forms no queue of its own.
*/
const urgentLimitMs = 300;

/** The backlog above which all other requests are refused, in ms. The difference is room for a burst of urgent requests. */
const otherLimitMs = 150;

/**
Returns the backlog of a link, in ms, up to which a request of a rank is admitted. Pure.

@param rank 0 for the most urgent requests.
*/
export const backlogLimitMs = (rank: number): number => rank === 0 ? urgentLimitMs : otherLimitMs;
