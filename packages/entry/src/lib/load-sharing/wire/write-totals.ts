import type {EndpointIndex} from './endpoint-index.js';
import type {LoadRow} from './load-row.js';
import {writeRows} from './write-rows.js';

/** Writes totals as a flat list: open requests and prompt units of every endpoint of `index` in its order or, without an index, as `writeRows` does. */
export const writeTotals = (totals: ReadonlyMap<number, LoadRow>, index?: EndpointIndex): number[] => index
	? index.hashes.flatMap(hash => {
		const total = totals.get(hash);
		return total ? [total.open, total.promptUnits] : [0, 0];
	})
	: writeRows(totals.values());
