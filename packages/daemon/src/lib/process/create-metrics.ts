import {StatsD} from 'hot-shots';
import type {DaemonSettings} from '../../daemon-settings.js';
import type {Metrics} from './metrics.js';

/** Creates the metrics client. Without an address it counts nothing. */
export const createMetrics = ({telemetry: {statsd}, host, hall}: DaemonSettings): Metrics => {
	const client = new StatsD({
		host: statsd?.ip,
		port: statsd?.port,
		mock: statsd === undefined,
		prefix: 'deckwheel.',
		globalTags: {host, hall},
		errorHandler() {
			// Metrics are best effort: a daemon serves on without them.
		},
	});
	return {
		count(name, tags = {}, by = 1) {
			client.increment(name, by, tags);
		},
		timing(name, ms, tags = {}) {
			client.timing(name, ms, tags);
		},
		gauge(name, value, tags = {}) {
			client.gauge(name, value, tags);
		},
		close: async () => new Promise(resolve => {
			client.close(() => {
				resolve();
			});
		}),
	};
};
