/** Returns the time from `now` to an instant, both in monotonic ms, in seconds rounded to the millisecond; 0 for a past instant. Pure. */
export const secondsUntil = (instant: number, now: number): number => Math.max(0, Math.round(instant - now)) / 1000;
