import type {EndpointIndex} from './endpoint-index.js';
import {isLoadPossible} from './is-load-possible.js';
import type {LoadRow} from './load-row.js';
import {readEntries} from './read-entries.js';

type Options = {
	/** The number of hosts that the loads are sums over. */
	readonly hosts: number;
	/** The index in whose order the numbers stand; `undefined` where they hold hashes. */
	readonly index: EndpointIndex | undefined;
};

/** Reads what `writeTotals` or `writeRows` wrote. Loads that so many hosts cannot have are left out. */
export const readTotals = (numbers: readonly number[], {hosts, index}: Options): {readonly entries: readonly LoadRow[]; readonly leftOut: number} =>
	readEntries(numbers, index ? 2 : 3, (part, position) => {
		const [endpoint, open, promptUnits] = index ? [index.hashes[position], ...part] : part;
		return endpoint !== undefined && isLoadPossible(open!, promptUnits!, hosts) ? {endpoint, open: open!, promptUnits: promptUnits!} : undefined;
	});
