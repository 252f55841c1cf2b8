/** The least that a caller who lacked rights is told to wait, in seconds. */
const leastSeconds = 2;

/** The most, in seconds: a caller should not stay away for much longer than an outage. */
const mostSeconds = 30;

/**
Decides when a request that lacked rights should come back, in seconds. Pure.

A store that was out of reach for some time is expected to stay so for as long again.

@param downMs How long the store has been out of reach, in ms; 0 while it answers.
*/
export const planRetryAfter = (downMs: number): number => Math.max(leastSeconds, Math.min(mostSeconds, downMs / 1000));
