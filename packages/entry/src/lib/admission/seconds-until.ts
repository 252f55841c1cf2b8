/** The time left until a moment, as `Retry-After` takes it: in seconds, to the millisecond. Both in monotonic ms. */
export const secondsUntil = (time: number, now: number): number => Math.max(0, Math.round(time - now)) / 1000;
