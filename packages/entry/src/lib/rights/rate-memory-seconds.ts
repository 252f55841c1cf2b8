/** Seconds over which a host's demand is averaged. */
export const rateMemorySeconds = 5;
