import type {PaceSample} from './pace-sample.js';
import {readEntries} from './read-entries.js';

/** The longest time of an event or a response that can be true, in ms: above every deadline. */
const maxMs = 3_600_000;

/** Reads what `writeSamples` wrote. Samples that cannot be true are left out. */
export const readSamples = (numbers: readonly number[]): {readonly entries: readonly PaceSample[]; readonly leftOut: number} =>
	readEntries(numbers, 3, ([endpoint, kind, hundredths]) => {
		const ms = hundredths! / 100;
		return (kind === 0 || kind === 1) && ms > 0 && ms <= maxMs ? {endpoint: endpoint!, kind: kind === 0 ? 'event' : 'response', ms} : undefined;
	});
