/** Reads seeds as `1..4` or `1,5,9`. Pure. */
export const readSeeds = (text: string): readonly number[] => {
	const range = /^(?<first>\d+)\.\.(?<last>\d+)$/.exec(text)?.groups;
	if (!range) {
		return text.split(',').map(Number);
	}

	const first = Number(range.first);
	return Array.from({length: Number(range.last) - first + 1}, (_, index) => first + index);
};
