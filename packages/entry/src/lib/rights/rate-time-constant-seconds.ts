/** The time constant of the exponential average of a host's demand, in seconds. A longer one is steadier, a shorter one follows a burst sooner. */
export const rateTimeConstantSeconds = 5;
