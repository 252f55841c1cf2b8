/**
Replaces `Math.random` of this process by numbers that follow from a seed, so that a play has the same course in every run.

@returns Brings the real one back.
*/
export const seedRandom = (seed: number): (() => void) => {
	const real = Math.random;
	let state = seed;
	Math.random = () => {
		// The constants of a well-known linear congruential generator (Numerical Recipes).
		state = ((state * 1_664_525) + 1_013_904_223) % (2 ** 32);
		return state / (2 ** 32);
	};

	return () => {
		Math.random = real;
	};
};
