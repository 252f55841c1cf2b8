/** The weight of a new sample, 0 to 1. At 0.2, the average reflects about the last five samples. */
const sampleWeight = 0.2;

/** Returns an exponentially smoothed average after one more sample. Recent samples count most. */
export const smooth = (average: number, sample: number): number => average + (sampleWeight * (sample - average));
