/** Returns the median of numbers; `undefined` for none. */
export const median = (numbers: readonly number[]): number | undefined => {
	if (numbers.length === 0) {
		return undefined;
	}

	const sorted = [...numbers].sort((a, b) => a - b);
	return (sorted[Math.floor((sorted.length - 1) / 2)]! + sorted[Math.floor(sorted.length / 2)]!) / 2;
};
