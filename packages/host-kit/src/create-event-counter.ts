import type {LogFields} from './log-fields.js';
import type {EventCounter} from './event-counter.js';

/** How often the counts are logged, in ms: often enough to see when something began, seldom enough to cost little. */
const reportMs = 10_000;

/**
Creates an event counter. It is logged as one line every ten seconds in which something was counted, and begins anew then.

@param event The name of the line.
*/
export const createEventCounter = (event: string, log: (event: string, fields: LogFields) => void): EventCounter => {
	let counts: Record<string, number> = {};
	const timer = setInterval(() => {
		if (Object.keys(counts).length > 0) {
			log(event, counts);
			counts = {};
		}
	}, reportMs);
	timer.unref();

	return {
		increment(name) {
			counts[name] = (counts[name] ?? 0) + 1;
		},
		recordMax(name, value) {
			counts[name] = Math.max(counts[name] ?? 0, value);
		},
	};
};
