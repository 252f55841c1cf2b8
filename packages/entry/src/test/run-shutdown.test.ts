import test from 'ava';
import {runShutdown} from '../lib/host/run-shutdown.js';

// Guards against a shutdown that still listens while it returns its last rights. A caller's connection came 4.3 s after the signal to stop,
// its request was forwarded to an endpoint, and the process exited 2 ms later.
test('a request that comes at any moment of a shutdown is finished or never accepted', async t => {
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
		requestCounter: {
			count: () => open,
			async untilNone() {
				open = 0;
				arrive();
			},
		},
		plan: {listenUntil: 3000, waitForRequestsUntil: 7000},
		waitUntil: async () => undefined,
		stopForwarding: () => undefined,
		endOpenRequests: async () => undefined,
		log(event, fields) {
			events.push(`${event} open=${String(fields?.open)}`);
		},
	});
	t.is(open, 0);
	t.true(taken > 0);
	t.deepEqual(events, ['stopping open=0', 'stopped open=0']);
});

test('no request is forwarded once the last rights are returned, and open requests are ended after that', async t => {
	const steps: string[] = [];
	const step = (name: string) => async (): Promise<void> => {
		steps.push(name);
	};

	await runShutdown({
		servers: {closeIdleConnections: () => undefined, stopListening: () => undefined},
		rights: {retire: step('retire')},
		requestCounter: {count: () => 1, untilNone: step('wait')},
		plan: {listenUntil: 3000, waitForRequestsUntil: 7000},
		waitUntil: step('linger'),
		stopForwarding() {
			steps.push('send no more');
		},
		endOpenRequests: step('end requests'),
		log: () => undefined,
	});
	t.deepEqual(steps, ['linger', 'retire', 'wait', 'send no more', 'retire', 'end requests']);
});

// Guards against a shutdown that listens for as long as streams are open. A stream was still open 7 s after the signal to stop; a request that
// came then was forwarded and cut 0.1 s later.
test('a request that comes after the linger is not accepted, however long open streams last', async t => {
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
		requestCounter: {
			count: () => 1,
			async untilNone() {
				step('wait');
			},
		},
		plan: {listenUntil: 3000, waitForRequestsUntil: 7000},
		async waitUntil() {
			step('linger');
		},
		stopForwarding: () => undefined,
		endOpenRequests: async () => undefined,
		log: () => undefined,
	});
	t.deepEqual(steps, ['linger listening', 'retire closed', 'wait closed', 'retire closed']);
});
