/** The weight of a new sample: about five count. */
const sampleWeight = 0.2;

/** An exponentially smoothed average: recent samples count most. */
export const smooth = (average: number, sample: number): number => average + (sampleWeight * (sample - average));
