/**
Replaces `Math.random` in this process by a seeded generator, so that a simulation takes the same course in every run.

@returns A function that restores the original `Math.random`.
*/
export const seedRandom = (seed: number): (() => void) => {
	const originalRandom = Math.random;
	let state = seed;
	Math.random = () => {
		// The constants of the linear congruential generator of Numerical Recipes.
		state = ((state * 1_664_525) + 1_013_904_223) % (2 ** 32);
		return state / (2 ** 32);
	};

	return () => {
		Math.random = originalRandom;
	};
};
