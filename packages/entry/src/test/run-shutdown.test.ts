import test from 'ava';
import {runShutdown} from '../lib/host/run-shutdown.js';

// On a played day a caller's connection came 4.3 s after the signal to stop, while the host gave back its last rights. The request
// was read and sent to an endpoint, and the process ended 2 ms later.
test('a request that comes at any moment of a planned stop is finished, or never taken', async t => {
	let open = 0;
	let taken = 0;
	let isListening = true;
	const events: string[] = [];
	const arrive = (): void => {
		if (isListening) {
			open++;
			taken++;
		}
	};

	await runShutdown({
		servers: {
			closeIdleConnections: arrive,
			stopListening() {
				arrive();
				isListening = false;
			},
		},
		rights: {
			async retire() {
				arrive();
			},
		},
		open: {
			count: () => open,
			async untilNone() {
				open = 0;
				arrive();
			},
		},
		plan: {listenUntil: 3000, endBy: 7000},
		waitUntil: async () => undefined,
		sendNoMore: () => undefined,
		endRequests: async () => undefined,
		log(event, fields) {
			events.push(`${event} open=${String(fields?.open)}`);
		},
	});
	t.is(open, 0);
	t.true(taken > 0);
	t.deepEqual(events, ['stopping open=0', 'stopped open=0']);
});

test('nothing is sent on once the last rights go back, and what is still open ends after that', async t => {
	const steps: string[] = [];
	const step = (name: string) => async (): Promise<void> => {
		steps.push(name);
	};

	await runShutdown({
		servers: {closeIdleConnections: () => undefined, stopListening: () => undefined},
		rights: {retire: step('retire')},
		open: {count: () => 1, untilNone: step('wait')},
		plan: {listenUntil: 3000, endBy: 7000},
		waitUntil: step('linger'),
		sendNoMore() {
			steps.push('send no more');
		},
		endRequests: step('end requests'),
		log: () => undefined,
	});
	t.deepEqual(steps, ['linger', 'retire', 'wait', 'send no more', 'retire', 'end requests']);
});

// On another day a stream was still open 7 s after the signal; a request that came then was sent on and cut 0.1 s later.
test('a request that comes after the linger is not taken, however long open streams last', async t => {
	let isListening = true;
	const steps: string[] = [];
	const step = (name: string): void => {
		steps.push(`${name} ${isListening ? 'listening' : 'closed'}`);
	};

	await runShutdown({
		servers: {
			closeIdleConnections: () => undefined,
			stopListening() {
				isListening = false;
			},
		},
		rights: {
			async retire() {
				step('retire');
			},
		},
		open: {
			count: () => 1,
			async untilNone() {
				step('wait');
			},
		},
		plan: {listenUntil: 3000, endBy: 7000},
		async waitUntil() {
			step('linger');
		},
		sendNoMore: () => undefined,
		endRequests: async () => undefined,
		log: () => undefined,
	});
	t.deepEqual(steps, ['linger listening', 'retire closed', 'wait closed', 'retire closed']);
});
