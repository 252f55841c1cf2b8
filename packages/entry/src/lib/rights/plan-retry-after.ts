/** The least and the most that a caller who lacked rights is told to wait, in seconds. Chosen without a measurement. */
const leastSeconds = 2;
const mostSeconds = 30;

/**
Decides when a request that lacked rights should come back, in seconds. Pure.

A store that was out of reach for some time is expected to stay so for as long again.

@param downMs How long the store has been out of reach, in ms; 0 while it answers.
*/
export const planRetryAfter = (downMs: number): number => Math.max(leastSeconds, Math.min(mostSeconds, downMs / 1000));
