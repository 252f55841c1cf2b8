/** Steps of a recorded rate between one power of two and the next: about 9 percent each. */
const stepsPerOctave = 8;

/** A rate below this, in tokens a second, is as good as none. */
const leastRate = 0.01;

/** Rates are recorded in thousandths of a token a second. */
const decimals = 1000;

/** Rounds a rate, so that one that hardly changes causes no write to the store. */
export const coarseRate = (rate: number): number => {
	if (rate < leastRate) {
		return 0;
	}

	const rounded = 2 ** (Math.round(stepsPerOctave * Math.log2(rate)) / stepsPerOctave);
	return Math.round(decimals * rounded) / decimals;
};
