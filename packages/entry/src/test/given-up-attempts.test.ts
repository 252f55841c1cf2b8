/**
Guards against parts that pass for whole responses when an attempt is given up (its deadline, a lost hall, the host's stop) while the rest of the
response waits in this process behind a caller that reads slowly: node:http drops what waits and then emits the end of a complete response.
*/
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {PassThrough} from 'node:stream';
import {text} from 'node:stream/consumers';
import test, {type ExecutionContext} from 'ava';
import {relayStream} from '../lib/relaying/relay-stream.js';
import {headerNames} from './lib/header-names.js';
import {sendOneAttempt} from './lib/send-one-attempt.js';
import {eventually} from './lib/start-crashing-fleet.js';
import {startRawEndpoint} from './lib/start-raw-endpoint.js';

const events = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n'];

const chunkOf = (bytes: string): string => `${bytes.length.toString(16)}\r\n${bytes}\r\n`;

const head = `HTTP/1.1 200 OK\r\n${headerNames.requestId}: r1\r\n${headerNames.stamp}: e\r\n`;

const framings = {
	chunks: {headers: 'Transfer-Encoding: chunked\r\n', body: [...events.map(event => chunkOf(event)), '0\r\n\r\n'].join('')},
	'its connection': {headers: '', body: events.join('')},
};

/** Relays a response that arrives as one packet after its head to a caller that reads nothing before the attempt is given up. */
const relayUntilGivenUp = async (t: ExecutionContext, {headers, body}: {readonly headers: string; readonly body: string}) => {
	const endpoint = await startRawEndpoint('e', (_req, socket) => {
		socket.write(`${head}${headers}\r\n`);
		setImmediate(() => {
			socket.end(body);
		});
	});
	t.teardown(endpoint.close);
	const attempt = new AbortController();
	const result = await sendOneAttempt(endpoint.listed.address, {signal: attempt.signal});
	if (result.type !== 'answered') {
		throw new TypeError(`the attempt ended with ${result.type}`);
	}

	const {response} = result;
	// A high-water mark of one byte stands for a connection whose buffers are full.
	const caller = new PassThrough({highWaterMark: 1});
	const relayed = relayStream(response, caller as unknown as ServerResponse, {
		lastId: undefined,
		resumedAfter: undefined,
		ready: Promise.resolve(),
		signal: attempt.signal,
		onChunk: () => undefined,
		beforeWrite: () => undefined,
		onInvalid: () => undefined,
	});
	await eventually(() => response.complete);
	attempt.abort();
	const end = await relayed;
	caller.end();
	return {end, received: await text(caller)};
};

for (const [ending, response] of Object.entries(framings)) {
	test(`a stream that is given up after ${ending} ended it looks whole without the events that wait for its caller`, async t => {
		const {end, received} = await relayUntilGivenUp(t, response);
		t.like(end, {type: 'whole', count: 3});
		t.is(received, events.join(''));
	});
}

test('a stream that is given up before its last chunk looks whole', async t => {
	const endpoint = await startRawEndpoint('e', (_req, socket) => {
		socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n${chunkOf(events[0]!)}`);
	});
	t.teardown(endpoint.close);
	const attempt = new AbortController();
	const result = await sendOneAttempt(endpoint.listed.address, {signal: attempt.signal});
	if (result.type !== 'answered') {
		throw new TypeError(`the attempt ended with ${result.type}`);
	}

	const caller = new PassThrough();
	const relayed = relayStream(result.response, caller as unknown as ServerResponse, {
		lastId: undefined,
		resumedAfter: undefined,
		ready: Promise.resolve(),
		signal: attempt.signal,
		onChunk: () => undefined,
		beforeWrite: () => undefined,
		onInvalid: () => undefined,
	});
	await once(caller, 'readable');
	attempt.abort();
	t.like(await relayed, {type: 'broken', count: 1});
});
