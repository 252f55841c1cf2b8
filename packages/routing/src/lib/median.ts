/** Returns the median of numbers; `undefined` for none. */
export const median = (numbers: readonly number[]): number | undefined => {
	const sorted = [...numbers].sort((a, b) => a - b);
	const middle = Math.floor(sorted.length / 2);
	return sorted.length % 2 === 1 ? sorted[middle] : (sorted.length === 0 ? undefined : (sorted[middle - 1]! + sorted[middle]!) / 2);
};
