/** The sum of some numbers; 0 when there are none. */
export const sumOf = (numbers: Iterable<number>): number => {
	let sum = 0;
	for (const number of numbers) {
		sum += number;
	}

	return sum;
};
