/** 0.975 quantiles of Student's t distribution, by degrees of freedom from 1 on. */
const quantiles = [12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.16, 2.145, 2.131, 2.12, 2.11, 2.101, 2.093, 2.086];

/** The same for more degrees of freedom than are listed: a little too wide. */
const manyQuantile = 2.086;

/** A mean difference with half the width of its 95 % interval; infinite for a single pair. */
type Difference = {readonly pairs: number; readonly mean: number; readonly halfWidth: number};

/** The mean of paired differences and its 95 % interval. Pure. */
export const pairedDifference = (differences: readonly number[]): Difference => {
	const {length} = differences;
	const mean = differences.reduce((sum, value) => sum + value, 0) / length;
	const squares = differences.reduce((sum, value) => sum + ((value - mean) ** 2), 0);
	const freedom = length - 1;
	const error = Math.sqrt(squares / freedom / length);
	return {pairs: length, mean, halfWidth: freedom === 0 ? Number.POSITIVE_INFINITY : error * (quantiles[freedom - 1] ?? manyQuantile)};
};
