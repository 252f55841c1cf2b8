/** The shortest time that the caller of a request that lacked rights is told to wait, in seconds. */
const minSeconds = 2;

/** The longest such time, in seconds: a caller should not stay away for much longer than an outage of the store. */
const maxSeconds = 30;

/**
Decides after how many seconds the caller of a request that lacked rights should retry. Pure.

A store that has been out of reach for some time is expected to stay out of reach for as long again.

@param downMs How long the store has been out of reach, in ms; 0 while it answers.
*/
export const planRetryAfter = (downMs: number): number => Math.max(minSeconds, Math.min(maxSeconds, downMs / 1000));
