/** Guards against bytes beside the head of a response that leave its caller without an answer, or take a whole answer from it. */
import {Buffer} from 'node:buffer';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket, type AddressInfo} from 'node:net';
import process from 'node:process';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import type {Route} from '../config/route.js';
import {createResponseWriter} from '../lib/relaying/create-response-writer.js';
import {readWholeBody} from './lib/read-whole-body.js';
import {callHost} from './lib/call-host.js';
import {headerNames} from './lib/header-names.js';
import {sendOneAttempt} from './lib/send-one-attempt.js';
import type {Answer} from './lib/start-endpoint.js';
import {startHostBefore} from './lib/start-host-before.js';
import {startRawServer} from './lib/start-raw-server.js';

/** How many near-valid responses the property tries, and the seed by which they are drawn. */
const {RESPONSE_RUNS = '300', RESPONSE_SEED = '71'} = process.env;

/** What an endpoint writes after the headers that every response has, in one write with the head. */
type RawResponse = {readonly headers: string; readonly bytes: string};

const respond = (id: string, socket: Socket, {headers, bytes}: RawResponse): void => {
	socket.write(`HTTP/1.1 200 OK\r\n${headerNames.requestId}: ${id}\r\n${headerNames.stamp}: e\r\n${headers}\r\n\r\n${bytes}`);
};

/** Sends one request to a host before two endpoints. The first response is written as it is, any later one is sound. */
const callSpoiled = async (t: ExecutionContext, route: Partial<Route>, first: RawResponse) => {
	let runs = 0;
	const answer: Answer = (req, res) => {
		if (runs++ === 0) {
			respond(String(req.headers[headerNames.requestId]), res.socket!, first);
		} else {
			res.end('sound');
		}
	};

	const host = await startHostBefore(t, route, [answer, answer]);
	const {status, body, isWhole} = await callHost(host.callers);
	return {
		status, body, isWhole, runs,
	};
};

const badChunkSize: RawResponse = {headers: 'Transfer-Encoding: chunked', bytes: 'ZZ\r\nspoiled\r\n'};

const badChunkEnd: RawResponse = {headers: 'Transfer-Encoding: chunked', bytes: '7\r\nspoiledXX0\r\n\r\n'};

for (const [what, response] of Object.entries({size: badChunkSize, end: badChunkEnd})) {
	test(`a response with a spoiled chunk ${what} beside its head leaves its caller without an answer`, async t => {
		const {status, runs} = await callSpoiled(t, {kind: 'once'}, response);
		t.deepEqual({status, runs}, {status: 502, runs: 1});
	});

	test(`a request that may run again is not sent on after a spoiled chunk ${what} beside the head`, async t => {
		const {status, body, runs} = await callSpoiled(t, {kind: 'repeatable'}, response);
		t.deepEqual({status, body, runs}, {status: 200, body: 'sound', runs: 2});
	});
}

test('bytes right after a whole response with a length take the response from its caller', async t => {
	const answer = await callSpoiled(t, {kind: 'once'}, {headers: 'Content-Length: 5', bytes: 'wholesurplus'});
	t.deepEqual(answer, {
		status: 200, body: 'whole', isWhole: true, runs: 1,
	});
});

test('bytes right after a whole response in chunks take the response from its caller', async t => {
	const answer = await callSpoiled(t, {kind: 'once'}, {headers: 'Transfer-Encoding: chunked', bytes: '5\r\nwhole\r\n0\r\n\r\n\0surplus'});
	t.deepEqual(answer, {
		status: 200, body: 'whole', isWhole: true, runs: 1,
	});
});

test('bytes right after a whole stream that may not run again break the stream off', async t => {
	const event = 'id: 1\ndata: all\n\n';
	const answer = await callSpoiled(t, {kind: 'stream', isResumable: false}, {headers: `Content-Length: ${event.length}`, bytes: `${event}surplus`});
	t.deepEqual(answer, {
		status: 200, body: event, isWhole: true, runs: 1,
	});
});

/** Responses of an endpoint, with up to three bytes changed anywhere. */
const nearValidResponse = fc.tuple(
	fc.constantFrom(
		'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-stamp: s\r\nContent-Length: 2\r\nContent-Disposition: f\u00E9\r\nTrailer: x\r\nSet-Cookie: a\r\n\r\nok',
		'HTTP/1.1 503 Busy\r\nx-id: r1\r\nRetry-After: 1\r\nConnection: close, x-id\r\n\r\nno',
		'HTTP/1.1 200 OK\r\nx-id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx-trailer: t\r\n\r\n',
	),
	fc.array(fc.tuple(fc.nat(120), fc.nat(255)), {maxLength: 3}),
).map(([response, changes]) => {
	const bytes = Buffer.from(response, 'latin1');
	for (const [at, byte] of changes) {
		bytes[at] = byte;
	}

	return bytes;
});

test('the bytes of an endpoint leave an attempt without an end, or a response that node:http does not write', async t => {
	let bytes: Uint8Array = new Uint8Array();
	const server = await startRawServer(socket => {
		socket.end(bytes);
	});
	t.teardown(() => {
		server.close();
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;

	const isLostOrWritten = async (sent: Uint8Array, method: string): Promise<boolean> => {
		bytes = sent;
		const result = await sendOneAttempt(address, {method});
		const body = result.type === 'answered' ? await readWholeBody(result.response) : undefined;
		if (result.type !== 'answered' || body === undefined) {
			return true;
		}

		const res = new ServerResponse(new IncomingMessage(new Socket()));
		createResponseWriter(res, method === 'HEAD', () => false).writeWhole(result.response, body);
		return res.headersSent;
	};

	await fc.assert(fc.asyncProperty(nearValidResponse, fc.constantFrom('GET', 'HEAD'), isLostOrWritten), {numRuns: Number(RESPONSE_RUNS), seed: Number(RESPONSE_SEED)});
	t.pass();
});
