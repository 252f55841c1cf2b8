/**
Guards against a shutdown that cuts responses by closing their connections. It comes about in two ways.

Node.js counts a connection as idle once `end` of its response was called, even while most of the response still waits in the process for a
caller that reads slowly; closing idle connections destroys that connection.

A shutdown that closes a connection after the first response that ends after the signal to stop cuts the responses to later requests of the
same connection that are already forwarded to an endpoint.
*/
import {once} from 'node:events';
import {connect} from 'node:net';
import test from 'ava';
import {afterNextPoll} from '@deckwheel/core';
import {maxHeldBytes} from '../lib/receiving/response-limits.js';
import {createManualClock} from './lib/create-manual-clock.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {headerNames} from './lib/header-names.js';
import {openCaller} from './lib/open-caller.js';
import {startEndpoint, type Answer} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

/**
Responses that take more than fits into the operating system's buffers between a host and a caller. One is relayed as its caller reads; the others, on one
connection, are held whole by the host, to which they have been answered long before the caller has read them. `bytes`: the length of each.
*/
const forms = [
	{
		name: 'one that is relayed', bytes: 32 * 1024 * 1024, count: 1, isHeld: false,
	},
	{
		name: 'several that are held', bytes: maxHeldBytes, count: 12, isHeld: true,
	},
] as const;

type Form = typeof forms[number];

/** Right after the host stops listening, in ms after the signal to stop. */
const listenMs = 3001;

const started: Array<() => unknown> = [];

test.after.always(async () => {
	await Promise.all(started.map(async kill => kill()));
});

/** Starts a host with one endpoint that responds by `answer`, and with a clock that the test advances. */
const startHostWithEndpoint = async (answer: Answer) => {
	const clock = createManualClock();
	const host = await startHost(createMemoryRightsStore(), {schedule: clock.schedule, now: clock.now});
	const endpoint = await startEndpoint('e', answer);
	started.push(async () => host.entry.kill(), () => {
		endpoint.close();
	});
	host.entry.configure(makeConfig({routes: [makeRoute({kind: 'once'})]}));
	host.entry.listEndpoints([endpoint.listed]);
	return {...host, clock, endpoint};
};

const countZeros = (bytes: Uint8Array): number => {
	let count = 0;
	for (const byte of bytes) {
		count += byte === 0 ? 1 : 0;
	}

	return count;
};

/** Sends requests on one connection as a caller that reads the responses only when the test calls `readAll`. */
const callSlowly = async (address: string, {bytes, count}: Form) => {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	let isReading = false;
	let bodyBytes = 0;
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	const begun = new Promise<void>(resolve => {
		socket.on('data', chunk => {
			// Heads have no byte of zero, and bodies no other.
			bodyBytes += countZeros(chunk);
			resolve();
			if (!isReading) {
				socket.pause();
			} else if (bodyBytes === bytes * count) {
				socket.destroy();
			}
		});
	});
	socket.pause();
	for (let index = 0; index < count; index++) {
		socket.write(['POST /p HTTP/1.1', 'host: fleet', `${headerNames.requestId}: slow${index}`, `${headerNames.apiKey}: key`, 'content-length: 0', '', ''].join('\r\n'));
	}

	return {
		/** Resolves with the first bytes of the first response, and reads no more than those. */
		async untilBegun() {
			socket.resume();
			await begun;
		},
		/** Reads the responses; returns how many bytes of the bodies came before all were whole or the connection closed. */
		async readAll(): Promise<number> {
			isReading = true;
			const closed = once(socket, 'close');
			socket.resume();
			await closed;
			return bodyBytes;
		},
	};
};

for (const form of forms) {
	const allBytes = form.bytes * form.count;
	const sendLongResponse: Answer = (_req, res) => {
		res.end(new Uint8Array(form.bytes));
	};

	/** Sends the requests, and waits until their responses are on their way to the caller, or wait in the host. */
	const startReading = async ({callers, logged}: Awaited<ReturnType<typeof startHostWithEndpoint>>) => {
		const caller = await callSlowly(callers, form);
		await (form.isHeld
			? Promise.all(Array.from({length: form.count}, async (_, index) => logged('request_answered', ({id}) => id === `slow${index}`)))
			: caller.untilBegun());
		return caller;
	};

	test(`a response that its caller is still reading when the shutdown begins arrives whole: ${form.name}`, async t => {
		const host = await startHostWithEndpoint(sendLongResponse);
		const caller = await startReading(host);
		const stopped = host.entry.stop();
		const bytes = await caller.readAll();
		host.clock.advance(listenMs);
		await stopped;
		t.is(bytes, allBytes);
	});

	test(`a response that its caller is still reading when the host stops listening arrives whole: ${form.name}`, async t => {
		const host = await startHostWithEndpoint(sendLongResponse);
		// A host that stops closes the connection after the response to the last request that it has read by then.
		const early = form.isHeld ? await startReading(host) : undefined;
		const stopped = host.entry.stop();
		const caller = early ?? await startReading(host);
		host.clock.advance(listenMs);
		const bytes = await caller.readAll();
		await stopped;
		t.is(bytes, allBytes);
	});

	test(`a long response arrives whole at a slow caller of a host that is not shutting down: ${form.name}`, async t => {
		const caller = await startReading(await startHostWithEndpoint(sendLongResponse));
		t.is(await caller.readAll(), allBytes);
	});
}

/** Starts a host whose caller has sent two requests on one connection; both were forwarded to the endpoint, which responds when the test calls `respond`. */
const startWithTwoRequests = async () => {
	const respondById = new Map<string, () => void>();
	let begin: () => void = () => undefined;
	const bothBegun = new Promise<void>(resolve => {
		begin = resolve;
	});
	const host = await startHostWithEndpoint((req, res) => {
		const id = String(req.headers[headerNames.requestId]);
		respondById.set(id, () => {
			res.end(`answer of ${id}`);
		});
		if (respondById.size === 2) {
			begin();
		}
	});
	const caller = await openCaller(host.callers);
	caller.sendHead('first', ['content-length: 0']);
	caller.sendHead('second', ['content-length: 0']);
	await bothBegun;
	return {
		...host, caller, respond(id: string) {
			respondById.get(id)!();
		},
	};
};

test('two requests of one connection get their responses from a host that is not shutting down', async t => {
	const {caller, respond} = await startWithTwoRequests();
	respond('first');
	await caller.received(text => text.includes('answer of first'));
	respond('second');
	const text = await caller.received(all => all.includes('answer of second'));
	t.true(text.includes('answer of second'));
});

test('a forwarded request gets its response, even if an earlier response on its connection ended during the shutdown', async t => {
	const {caller, respond, entry} = await startWithTwoRequests();
	void entry.stop();
	respond('first');
	await caller.received(text => text.includes('answer of first'));
	respond('second');
	const text = await caller.received(all => all.includes('answer of second'));
	t.true(text.includes('answer of second'));
});

test('no request stays open whose caller has closed the connection', async t => {
	const {caller, respond, entry, logged, events} = await startWithTwoRequests();
	caller.close();
	await logged('request_left', ({id}) => id === 'first');
	respond('second');
	await Promise.race(['request_left', 'request_answered'].map(async event => logged(event, ({id}) => id === 'second')));
	// The end of the connection ends its requests; node:http closes it within the next turns of the event loop.
	for (let turn = 0; turn < 4; turn++) {
		await afterNextPoll();
	}

	void entry.stop();
	t.is(events.find(({event}) => event === 'stopping')?.fields.open, 0);
});
