import type {LoadRow} from '../wire/load-row.js';

/** Adds two sets of totals by endpoint. */
export const addTotals = (one: ReadonlyMap<number, LoadRow>, other: ReadonlyMap<number, LoadRow>): ReadonlyMap<number, LoadRow> => {
	if (other.size === 0) {
		return one;
	}

	const sums = new Map(one);
	for (const [endpoint, row] of other) {
		const sum = sums.get(endpoint);
		sums.set(endpoint, sum ? {endpoint, open: sum.open + row.open, promptUnits: sum.promptUnits + row.promptUnits} : row);
	}

	return sums;
};
