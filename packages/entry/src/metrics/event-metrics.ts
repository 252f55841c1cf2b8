import type {Log} from '../adapter/log.js';

/** Figures of a host, counted from its log. */
export type EventMetrics = {
	/** Counts an event. */
	readonly note: Log;
	/** All figures, in the text format of Prometheus. */
	readonly text: () => Promise<string>;
};
