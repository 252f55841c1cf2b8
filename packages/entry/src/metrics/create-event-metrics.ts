import {Counter, Histogram, Registry} from 'prom-client';
import type {EventMetrics} from './event-metrics.js';

/** Upper bounds of the latency histogram, in ms. */
const latencyBuckets = [5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12_800];
const transfers: ReadonlySet<string> = new Set(['rights_drawn', 'rights_given_back', 'rights_borrowed']);

/** Creates counters and latency histograms that follow the log: what is logged is counted, and nothing else has to be kept in step. */
export const createEventMetrics = (): EventMetrics => {
	const registry = new Registry();
	const registers = [registry];
	const events = new Counter({
		name: 'deckwheel_events_total', help: 'Events by name, and by code where a request was refused.', labelNames: ['event', 'code'], registers,
	});
	const latency = new Histogram({
		name: 'deckwheel_request_ms', help: 'Time from a request to the end of its answer, in ms.', labelNames: ['event', 'route'], buckets: latencyBuckets, registers,
	});
	const arrivals = new Counter({
		name: 'deckwheel_arrivals_total', help: 'Requests that reached endpoints, repeats included.', registers,
	});
	const tokens = new Counter({
		name: 'deckwheel_rights_tokens_total', help: 'Tokens of rights moved, by event.', labelNames: ['event'], registers,
	});
	const used = new Counter({
		name: 'deckwheel_tokens_used_total', help: 'Tokens charged to budgets.', registers,
	});

	return {
		note(event, fields = {}) {
			events.inc({event, code: String(fields.code ?? '')});
			if (typeof fields.ms === 'number') {
				latency.observe({event, route: String(fields.route ?? '')}, fields.ms);
			}

			arrivals.inc(Number(fields.arrivals ?? 0));
			used.inc(Math.max(0, Number(fields.used ?? 0)));
			if (transfers.has(event)) {
				tokens.inc({event}, Math.max(0, Number(fields.tokens ?? 0)));
			}
		},
		text: async () => registry.metrics(),
	};
};
