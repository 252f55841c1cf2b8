import type {LogFields} from './log-fields.js';
import type {EventCounter} from './event-counter.js';

/**
Interval between two log lines of counts, in ms. The interval is short enough to show when a fault began, and long enough for the
log lines to cost little.
*/
const reportIntervalMs = 10_000;

/**
Creates an event counter. Every ten seconds, the counter logs its counts as one line and resets them. With nothing counted, the
counter logs no line.

@param event The event of the log line.
*/
export const createEventCounter = (event: string, log: (event: string, fields: LogFields) => void): EventCounter => {
	const counts = new Map<string, number>();
	const timer = setInterval(() => {
		if (counts.size > 0) {
			log(event, Object.fromEntries(counts));
			counts.clear();
		}
	}, reportIntervalMs);
	timer.unref();

	return {
		increment(name, by = 1) {
			counts.set(name, (counts.get(name) ?? 0) + by);
		},
		recordMax(name, value) {
			counts.set(name, Math.max(counts.get(name) ?? 0, value));
		},
	};
};
