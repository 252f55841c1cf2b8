/** The time constant of the average rates of a link, in ms: log lines show the load of about the last second. */
export const rateTimeConstantMs = 1000;
