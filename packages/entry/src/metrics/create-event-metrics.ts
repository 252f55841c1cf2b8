import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {EventMetrics} from './event-metrics.js';

/** Upper bounds of the latency histogram, in ms. */
const latencyBucketsMs = [5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12_800];
/** Log events whose `tokens` field counts the tokens of rights that moved. */
const rightsTransferEvents: ReadonlySet<string> = new Set(['rights_drawn', 'rights_given_back', 'rights_borrowed']);

/** Creates counters and latency histograms that are computed from log events only, so that no other code has to update them. */
export const createEventMetrics = (): EventMetrics => {
	const registry = new Registry();
	const registers = [registry];
	const eventCounter = new Counter({
		name: 'deckwheel_events_total', help: 'Events by name, and by code where a request was refused.', labelNames: ['event', 'code'], registers,
	});
	const latencyHistogram = new Histogram({
		name: 'deckwheel_request_ms', help: 'Time from a request to the end of its answer, in ms.', labelNames: ['event', 'route'], buckets: latencyBucketsMs, registers,
	});
	const firstByteHistogram = new Histogram({
		name: 'deckwheel_first_byte_ms', help: 'Time from a request to the first byte of its answer, in ms.', labelNames: ['route'], buckets: latencyBucketsMs, registers,
	});
	const arrivalCounter = new Counter({
		name: 'deckwheel_arrivals_total', help: 'Requests that reached endpoints, repeats included.', registers,
	});
	const transferredTokenCounter = new Counter({
		name: 'deckwheel_rights_tokens_total', help: 'Tokens of rights moved, by event.', labelNames: ['event'], registers,
	});
	const turnedAwayCounter = new Counter({
		name: 'deckwheel_turned_away_total', help: 'Requests that this host turned away for its own load, by cause and by rank (0 the most urgent).', labelNames: ['cause', 'rank'], registers,
	});
	const heldBytesGauge = new Gauge({
		name: 'deckwheel_held_bytes', help: 'Most bytes of responses and bodies that this host held at once, in the latest ten seconds in which it held any.', registers,
	});
	const usedTokenCounter = new Counter({
		name: 'deckwheel_tokens_used_total', help: 'Tokens charged to budgets.', registers,
	});

	return {
		note(event, fields = {}) {
			eventCounter.inc({event, code: String(fields.code ?? '')});
			if (typeof fields.ms === 'number') {
				latencyHistogram.observe({event, route: String(fields.route ?? '')}, fields.ms);
			}

			if (event === 'request_refused' && fields.cause !== undefined) {
				turnedAwayCounter.inc({cause: String(fields.cause), rank: String(fields.rank ?? '')});
			}

			if (typeof fields.first_ms === 'number') {
				firstByteHistogram.observe({route: String(fields.route ?? '')}, fields.first_ms);
			}

			if (event === 'held_bytes' && typeof fields.max === 'number') {
				heldBytesGauge.set(fields.max);
			}

			arrivalCounter.inc(Number(fields.arrivals ?? 0));
			usedTokenCounter.inc(Math.max(0, Number(fields.used ?? 0)));
			if (rightsTransferEvents.has(event)) {
				transferredTokenCounter.inc({event}, Math.max(0, Number(fields.tokens ?? 0)));
			}
		},
		text: async () => registry.metrics(),
	};
};
