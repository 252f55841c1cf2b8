/** Seconds over which a host's demand is averaged. Longer is calmer, shorter follows a burst sooner. */
export const rateMemorySeconds = 5;
