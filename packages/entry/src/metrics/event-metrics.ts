import type {Log} from '../adapter/log.js';

/** Metrics of a host, computed from its log events. */
export type EventMetrics = {
	/** Updates the metrics from a log event. */
	readonly note: Log;
	/** Returns all metrics in the text format of Prometheus. */
	readonly text: () => Promise<string>;
};
