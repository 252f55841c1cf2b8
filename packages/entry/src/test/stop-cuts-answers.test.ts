/**
The story. A host is told to stop while a caller still reads a long answer, or while a second request of the same connection is
at an endpoint. Both were read, sent on, and answered or about to be; the stop itself closes their connection.

The evidence. Node counts a connection as idle once `end` of its answer was called, also while most of the answer still waits in
the process for a caller that reads slowly; closing idle connections destroys it. And a connection is closed after the first answer
that ends after the signal, also if later requests of it were sent on already.
*/
import {once} from 'node:events';
import {connect} from 'node:net';
import test from 'ava';
import {createManualClock} from './lib/create-manual-clock.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {headerNames} from './lib/header-names.js';
import {openCaller} from './lib/open-caller.js';
import {startEndpoint, type Answer} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

/** More than the system's buffers between a host and a caller hold, in bytes. */
const longAnswerBytes = 32 * 1024 * 1024;

/** When the host stops listening, in ms after the signal. */
const listenMs = 3001;

const started: Array<() => unknown> = [];

test.after.always(async () => {
	await Promise.all(started.map(async kill => kill()));
});

const launch = async (answer: Answer) => {
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

/** A caller that has sent a request, and reads its answer only when told to. */
const callSlowly = async (address: string) => {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	socket.pause();
	socket.write(['POST /p HTTP/1.1', 'host: fleet', `${headerNames.requestId}: slow`, `${headerNames.apiKey}: key`, 'content-length: 0', '', ''].join('\r\n'));
	return {
		/** How many bytes of the body come before the connection ends, or the body is whole. */
		async readAll(): Promise<number> {
			return new Promise(resolve => {
				let bytes = 0;
				let headBytes = 0;
				socket.on('data', (chunk: Uint8Array) => {
					if (headBytes === 0) {
						headBytes = new TextDecoder('latin1').decode(chunk).indexOf('\r\n\r\n') + 4;
					}

					bytes += chunk.length;
					if (bytes - headBytes === longAnswerBytes) {
						socket.destroy();
					}
				});
				socket.on('close', () => {
					resolve(bytes - headBytes);
				});
				socket.resume();
			});
		},
	};
};

const answerLong: Answer = (_req, res) => {
	res.end(new Uint8Array(longAnswerBytes));
};

test('an answer that its caller still reads when the host is told to stop comes whole', async t => {
	const {callers, entry, clock, logged} = await launch(answerLong);
	const caller = await callSlowly(callers);
	await logged('request_answered');
	const stopped = entry.stop();
	const bytes = await caller.readAll();
	clock.advance(listenMs);
	await stopped;
	t.is(bytes, longAnswerBytes);
});

test('an answer that its caller still reads when a stopping host ceases to listen comes whole', async t => {
	const {callers, entry, clock, logged} = await launch(answerLong);
	const stopped = entry.stop();
	const caller = await callSlowly(callers);
	await logged('request_answered');
	clock.advance(listenMs);
	const bytes = await caller.readAll();
	await stopped;
	t.is(bytes, longAnswerBytes);
});

test('a long answer comes whole to a slow caller of a host that does not stop', async t => {
	const {callers, logged} = await launch(answerLong);
	const caller = await callSlowly(callers);
	await logged('request_answered');
	t.is(await caller.readAll(), longAnswerBytes);
});

/** An endpoint's host whose caller has sent two requests on one connection; both are at the endpoint. */
const launchWithTwo = async () => {
	const answers = new Map<string, () => void>();
	let begin: () => void = () => undefined;
	const bothBegun = new Promise<void>(resolve => {
		begin = resolve;
	});
	const host = await launch((req, res) => {
		const id = String(req.headers[headerNames.requestId]);
		answers.set(id, () => {
			res.end(`answer of ${id}`);
		});
		if (answers.size === 2) {
			begin();
		}
	});
	const caller = await openCaller(host.callers);
	caller.sendHead('first', ['content-length: 0']);
	caller.sendHead('second', ['content-length: 0']);
	await bothBegun;
	return {
		...host, caller, answer(id: string) {
			answers.get(id)!();
		},
	};
};

test('two requests of one connection are answered by a host that does not stop', async t => {
	const {caller, answer} = await launchWithTwo();
	answer('first');
	await caller.received(text => text.includes('answer of first'));
	answer('second');
	const text = await caller.received(all => all.includes('answer of second'));
	t.true(text.includes('answer of second'));
});

test('a request that was sent on is answered, also if an earlier one of its connection is answered by a stopping host', async t => {
	const {caller, answer, entry} = await launchWithTwo();
	void entry.stop();
	answer('first');
	await caller.received(text => text.includes('answer of first'));
	answer('second');
	const text = await caller.received(all => all.includes('answer of second'));
	t.true(text.includes('answer of second'));
});

test('requests of one connection whose caller has left are open no longer', async t => {
	const {caller, answer, entry, logged, events} = await launchWithTwo();
	caller.close();
	await logged('request_left', ({id}) => id === 'first');
	answer('second');
	await Promise.race(['request_left', 'request_answered'].map(async event => logged(event, ({id}) => id === 'second')));
	void entry.stop();
	t.is(events.find(({event}) => event === 'stopping')?.fields.open, 0);
});
