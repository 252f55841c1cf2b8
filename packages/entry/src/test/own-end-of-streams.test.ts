/**
Guards against a stream that looks whole to its caller when this host ends it: at the end of the grace time, at once, or behind another response of the same
connection. Only the last chunk says that a stream is whole, so a stream that is not must never have one.
*/
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {once} from 'node:events';
import type {ClientRequest, IncomingMessage, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import test from 'ava';
import {afterNextPoll} from '@deckwheel/core';
import {createManualClock} from './lib/create-manual-clock.js';
import {headerNames} from './lib/header-names.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {eventually} from './lib/start-crashing-fleet.js';
import {startEndpoint, type Answer} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

/** More than fits into the operating system's buffers between a host and a caller, in bytes. */
const longBytes = 12 * 1024 * 1024;

/** The data of one of the events that take these bytes together: a host holds each event until it is complete, and breaks off one that is far larger. */
const eventBytes = 512 * 1024;

/** The times at which a stopping host stops to wait for open requests, and cuts them, in ms after the signal to stop. */
const [waitMs, cutMs] = [19_001, 19_601];

const lastChunk = '\r\n0\r\n\r\n';
const firstEvent = 'id: 1\ndata: piece 1\n\n';

type Teardown = {readonly teardown: (end: () => unknown) => void};

const startHostAndEndpoint = async (t: Teardown, answer: Answer) => {
	const clock = createManualClock();
	const host = await startHost(createMemoryRightsStore(), {schedule: clock.schedule, now: clock.now});
	const endpoint = await startEndpoint('e', answer);
	t.teardown(async () => {
		await host.entry.kill();
		endpoint.close();
	});
	host.entry.configure(makeConfig({routes: [makeRoute({name: 'plain', kind: 'once'}), makeRoute({name: 'streams', pathPrefix: '/stream/', kind: 'stream'})]}));
	host.entry.listEndpoints([endpoint.listed]);
	return {...host, clock, endpoint};
};

/** Sends requests for the paths on one connection. */
const callRaw = async (address: string, ...paths: readonly string[]) => {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	let text = '';
	let check: () => void = () => undefined;
	const closed = once(socket, 'close');
	socket.on('error', () => undefined);
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
		check();
	});
	await once(socket, 'connect');
	for (const path of paths) {
		socket.write([`POST ${path} HTTP/1.1`, 'host: fleet', `${headerNames.requestId}: ${path}`, `${headerNames.apiKey}: key`, 'content-length: 0', '', ''].join('\r\n'));
	}

	return {
		socket,
		/** Resolves once the text that came contains `part`. */
		has: async (part: string) => new Promise<void>(resolve => {
			check = () => {
				if (text.includes(part)) {
					resolve();
				}
			};

			check();
		}),
		/** Resolves to all that came, once the connection is closed. */
		async all() {
			socket.resume();
			await closed;
			return text;
		},
	};
};

const writeFirstEvent: Answer = (_req, res) => {
	res.writeHead(200, {'content-type': 'text/event-stream'});
	res.write(firstEvent);
};

const longEvents = Array.from({length: longBytes / eventBytes}, (_, index) => `id: ${index + 2}\ndata: ${'x'.repeat(eventBytes)}\n\n`).join('');

const writeLongEvents = (isEnded: boolean): Answer => (_req, res) => {
	res.writeHead(200, {'content-type': 'text/event-stream'});
	res.write(`${firstEvent}${longEvents}`);
	if (isEnded) {
		res.end();
	}
};

test('a stream that is cut at the end of the grace time looks whole', async t => {
	const {callers, entry, clock, logged} = await startHostAndEndpoint(t, writeFirstEvent);
	const caller = await callRaw(callers, '/stream/p');
	await caller.has('piece 1');
	const stopped = entry.stop();
	clock.advance(waitMs);
	clock.advance(cutMs - waitMs);
	const text = await caller.all();
	await logged('request_refused', ({id}) => id === '/stream/p');
	clock.advance(cutMs);
	await stopped;
	t.true(text.includes(firstEvent));
	t.false(text.endsWith(lastChunk));
});

test('a stream whose caller reads slowly looks whole after it is cut at the end of the grace time', async t => {
	const {callers, entry, clock, logged} = await startHostAndEndpoint(t, writeLongEvents(false));
	const caller = await callRaw(callers, '/stream/p');
	await caller.has('piece 1');
	caller.socket.pause();
	const stopped = entry.stop();
	clock.advance(waitMs);
	clock.advance(cutMs - waitMs);
	await logged('request_refused', ({id}) => id === '/stream/p');
	clock.advance(cutMs);
	await stopped;
	const text = await caller.all();
	t.true(text.includes(firstEvent));
	t.false(text.endsWith(lastChunk));
});

/** The channel of node:http on which each client's request meets the head of its response. */
const responseChannel = 'http.client.response.finish';

/** Follows the responses of endpoints to requests for a path. */
const followResponses = (t: Teardown, path: string) => {
	const responses: IncomingMessage[] = [];
	const note = (message: unknown): void => {
		const {request, response} = message as {readonly request: ClientRequest; readonly response: IncomingMessage};
		if (request.path === path) {
			responses.push(response);
		}
	};

	subscribe(responseChannel, note);
	t.teardown(() => unsubscribe(responseChannel, note));
	return responses;
};

/** The data of an event that comes whole with one read of a connection. */
const shortData = 'x'.repeat(4096);

/** For how long a host does not read a response on, in ms, before it counts as one whose caller does not read. */
const stallMs = 200;

/** Writes events until the host that reads them as `response` waits for its caller. All events are read by then. */
const writeUntilStalled = async (res: ServerResponse, response: IncomingMessage): Promise<void> => {
	for (let id = 2; ; id++) {
		const before = response.socket.bytesRead;
		res.write(`id: ${id}\ndata: ${shortData}\n\n`);
		await eventually(() => response.socket.bytesRead > before + shortData.length);
		const pausedAt = performance.now();
		while (response.isPaused()) {
			if (performance.now() - pausedAt > stallMs) {
				return;
			}

			await afterNextPoll();
		}
	}
};

test('a stream that has come whole and waits behind a slow caller looks whole without its last events after it is cut at the end of the grace time', async t => {
	const path = '/stream/complete';
	const responses = followResponses(t, path);
	const answers: ServerResponse[] = [];
	const {callers, entry, clock} = await startHostAndEndpoint(t, (req, res) => {
		answers.push(res);
		writeFirstEvent(req, res);
	});
	const caller = await callRaw(callers, path);
	await caller.has('piece 1');
	caller.socket.pause();
	const [answer, response] = [answers[0]!, responses[0]!];
	await writeUntilStalled(answer, response);
	answer.write('id: 100000\ndata: next to last\n\n');
	answer.end('id: 100001\ndata: last piece\n\n');
	t.true(await eventually(() => response.complete));
	t.true(response.isPaused());
	const stopped = entry.stop();
	clock.advance(waitMs);
	clock.advance(cutMs - waitMs);
	const text = await caller.all();
	clock.advance(cutMs);
	await stopped;
	t.true(text.includes('last piece'));
	t.true(text.endsWith(lastChunk));
});

test('a stream of which a part waits behind a slow caller looks whole after the host ends at once', async t => {
	const {callers, entry} = await startHostAndEndpoint(t, writeLongEvents(true));
	const caller = await callRaw(callers, '/stream/p');
	await caller.has('piece 1');
	caller.socket.pause();
	await entry.kill();
	const text = await caller.all();
	t.true(text.includes(firstEvent));
	t.true(text.length < longBytes);
	t.false(text.endsWith(lastChunk));
});

test('a stream that the host ends at once looks whole', async t => {
	const {callers, entry} = await startHostAndEndpoint(t, writeFirstEvent);
	const caller = await callRaw(callers, '/stream/p');
	await caller.has('piece 1');
	await entry.kill();
	const text = await caller.all();
	t.false(text.endsWith(lastChunk));
});

test('a stream that broke off while it waited behind another response of its connection looks whole', async t => {
	let answerFirst: () => void = () => undefined;
	const {callers, logged} = await startHostAndEndpoint(t, (req, res) => {
		if (req.url === '/p') {
			answerFirst = () => {
				res.end('first answer');
			};
		} else {
			res.writeHead(200, {'content-type': 'text/event-stream'});
			res.write(firstEvent, () => {
				res.destroy();
			});
		}
	});
	const caller = await callRaw(callers, '/p', '/stream/p');
	await logged('request_refused', ({id}) => id === '/stream/p');
	answerFirst();
	const text = await caller.all();
	t.true(text.includes('first answer'));
	t.false(text.endsWith(lastChunk));
});
