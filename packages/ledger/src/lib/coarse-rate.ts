/** Recorded rates per power of two, so that neighbouring recorded rates differ by about 9 percent. */
const stepsPerOctave = 8;

/** A rate below this, in tokens a second, is recorded as 0. */
const minRate = 0.01;

/** Rates are recorded in thousandths of a token a second. */
const roundingFactor = 1000;

/** Rounds a rate in tokens a second for the record in the store, so that a small change of the rate causes no write. */
export const coarseRate = (rate: number): number => {
	if (rate < minRate) {
		return 0;
	}

	const rounded = 2 ** (Math.round(stepsPerOctave * Math.log2(rate)) / stepsPerOctave);
	return Math.round(roundingFactor * rounded) / roundingFactor;
};
