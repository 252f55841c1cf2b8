import type {EndpointIndex} from './endpoint-index.js';
import {readEntries} from './read-entries.js';

/** The largest pace that a peer may tell, in percent: four times the largest one that `relativePaces` returns. */
const maxPercent = 1600;

type Pace = readonly [endpoint: number, pace: number];

/** Reads what `writePaces` wrote. Paces that cannot be true are left out. An unknown one is read as 1. */
export const readPaces = (numbers: readonly number[], index?: EndpointIndex): {readonly entries: readonly Pace[]; readonly leftOut: number} =>
	readEntries(numbers, index ? 1 : 2, (part, position) => {
		const [endpoint, percent] = index ? [index.hashes[position], part[0]] : part;
		return endpoint !== undefined && percent! >= 0 && percent! <= maxPercent ? [endpoint, percent === 0 ? 1 : percent! / 100] : undefined;
	});
