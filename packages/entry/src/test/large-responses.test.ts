/**
Guards against large responses that are taken for whole when they are not, that are asked for again after a part of them, that are lost though they are
sound, and against endpoints that are not judged by responses without an end.
*/
import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {scheduleByTimer} from '../lib/host/schedule-by-timer.js';
import {maxHeldBytes, maxResponseBytes, maxUnrelayedBytes} from '../lib/receiving/response-limits.js';
import {judgeEndpoint} from '../lib/request/judge-endpoint.js';
import {callHost} from './lib/call-host.js';
import {headerNames} from './lib/header-names.js';
import {openCaller} from './lib/open-caller.js';
import {startHostBeforeRaw} from './lib/start-host-before-raw.js';
import type {RawRequest} from './lib/start-raw-endpoint.js';

const framings = ['length', 'chunks', 'neither'] as const;

type Framing = typeof framings[number];

const headOf = ({id}: RawRequest, framing: Framing, bytes: number, status = '200 OK'): string => {
	const lines = {length: [`Content-Length: ${bytes}`], chunks: ['Transfer-Encoding: chunked'], neither: []}[framing];
	return [`HTTP/1.1 ${status}`, `${headerNames.requestId}: ${id}`, `${headerNames.stamp}: e`, ...lines, '', ''].join('\r\n');
};

/** Bytes that differ from place to place, so that missing ones show. */
const bodyOf = (bytes: number): string => {
	const line = Array.from({length: 997}, (_, index) => String.fromCodePoint(97 + (index % 26))).join('');
	return line.repeat(Math.ceil(bytes / line.length)).slice(0, bytes);
};

const writeBody = (socket: Socket, framing: Framing, body: string): void => {
	socket.write(framing === 'chunks' ? `${body.length.toString(16)}\r\n${body}\r\n` : body);
};

type Run = {readonly req: RawRequest; readonly socket: Socket; readonly status?: string};

const writeWhole = ({req, socket, status}: Run, framing: Framing, body: string): void => {
	socket.write(headOf(req, framing, body.length, status));
	writeBody(socket, framing, body);
	if (framing === 'chunks') {
		socket.write('0\r\n\r\n');
	} else if (framing === 'neither') {
		socket.end();
	}
};

/** So long that a busy machine does not reach it, in ms. */
const deadlineMs = 600_000;

const largeBody = bodyOf(3 * maxHeldBytes);

for (const framing of framings) {
	test(`a sound large response is not whole: ${framing}`, async t => {
		const {callers} = await startHostBeforeRaw(t, {kind: 'once'}, {halls: ['hall-a']}, ({req, socket}) => {
			writeWhole({req, socket}, framing, largeBody);
		});
		const {status, isWhole, body, headers} = await callHost(callers);
		t.is(status, 200);
		t.true(isWhole);
		t.true(body === largeBody);
		t.is(headers['content-length'], framing === 'length' ? String(largeBody.length) : undefined);
	});

	test(`a large response whose endpoint dies midway seems whole, is called not run, or is asked for again: ${framing}`, async t => {
		const {callers, runs, logged} = await startHostBeforeRaw(t, {kind: 'repeatable'}, {halls: ['hall-a', 'hall-a']}, ({req, socket, endpoint}) => {
			socket.write(headOf(req, framing, largeBody.length * 2));
			writeBody(socket, framing, largeBody);
			endpoint.refuse();
			endpoint.replace();
			socket.end();
		});
		const {status, isWhole, body} = await callHost(callers);
		t.is(status, 200);
		t.false(isWhole);
		t.true(largeBody.startsWith(body));
		t.is(runs(), 1);
		await logged('request_refused', ({ran, lost_runs: lost, status: refused}) => ran === 'unknown' && lost === 1 && refused === 502);
		await logged('response_broken', ({bytes}) => bytes === largeBody.length);
	});
}

/** Calls in HTTP/1.0 and returns the head and the body that came until the connection was closed. */
const callInHttp10 = async (address: string, id: string) => {
	const caller = await openCaller(address);
	caller.send(['POST /p HTTP/1.0', 'host: fleet', `${headerNames.requestId}: ${id}`, `${headerNames.apiKey}: key`, 'content-length: 0', '', ''].join('\r\n'));
	const text = await caller.received();
	const end = text.indexOf('\r\n\r\n');
	return {head: text.slice(0, end).toLowerCase().split('\r\n'), body: text.slice(end + 4)};
};

test('a large response without a length reaches a caller of HTTP/1.0 as one that its connection ends', async t => {
	const longest = bodyOf(maxUnrelayedBytes);
	const bodies = new Map([['held', longest], ['long', `${longest}.`], ['stated', `${longest}.`]]);
	const {callers} = await startHostBeforeRaw(t, {kind: 'once'}, {halls: ['hall-a']}, ({req, socket}) => {
		writeWhole({req, socket}, req.id === 'stated' ? 'length' : 'chunks', bodies.get(req.id)!);
	});
	for (const id of ['held', 'stated']) {
		const {head, body} = await callInHttp10(callers, id);
		t.is(head[0], 'http/1.1 200 ok');
		t.true(head.includes(`content-length: ${bodies.get(id)!.length}`));
		t.true(body === bodies.get(id));
	}

	const {head, body} = await callInHttp10(callers, 'long');
	t.is(head[0], 'http/1.1 502 bad gateway');
	t.like(JSON.parse(body), {error: {ran: 'unknown'}});
});

test('a large error is relayed though another endpoint may answer, or is lost where none may', async t => {
	const error = bodyOf(maxUnrelayedBytes + 1);
	const {callers} = await startHostBeforeRaw(t, {kind: 'repeatable', maxAttempts: 2}, {halls: ['hall-a', 'hall-a']}, ({req, socket, earlierRuns}) => {
		const isError = earlierRuns === 0 || req.path === '/last';
		writeWhole({req, socket, status: isError ? '500 Internal Server Error' : undefined}, 'chunks', isError ? error : 'well');
	});
	t.like(await callHost(callers), {status: 200, body: 'well', isWhole: true});
	const {status, body, isWhole} = await callHost(callers, {path: '/last'});
	t.is(status, 500);
	t.true(isWhole && body === error);
});

test('an endpoint that says that its responses are longer than any may be is asked again and again, or they are called not run', async t => {
	const {callers, runs, logged} = await startHostBeforeRaw(t, {kind: 'once'}, {halls: ['hall-a']}, ({req, socket}) => {
		socket.write(headOf(req, 'length', maxResponseBytes + 1));
	});
	for (let call = 0; call < 3; call++) {
		const {status, body} = await callHost(callers);
		t.is(status, 502);
		t.like(JSON.parse(body), {error: {ran: 'unknown'}});
	}

	const {status, body} = await callHost(callers);
	t.is(status, 503);
	t.like(JSON.parse(body), {error: {ran: 'not_run'}});
	t.is(runs(), 3);
	await logged('response_broken', ({end}) => end === 'too_long');
});

test('a body without an end is relayed for ever, or seems whole', async t => {
	const {callers, logged} = await startHostBeforeRaw(t, {kind: 'repeatable'}, {halls: ['hall-a']}, ({req, socket}) => {
		socket.write(headOf(req, 'chunks', 0));
		const part = bodyOf(maxHeldBytes);
		const writeOn = (): void => {
			if (socket.writable) {
				socket.write(`${part.length.toString(16)}\r\n${part}\r\n`, writeOn);
			}
		};

		writeOn();
	});
	const {status, isWhole, body} = await callHost(callers);
	t.is(status, 200);
	t.false(isWhole);
	t.true(body.length <= maxResponseBytes);
	await logged('response_broken', ({end, bytes}) => end === 'too_long' && Number(bytes) > maxResponseBytes);
	await logged('request_refused', ({reason, lost_runs: lost}) => reason === 'too_long' && lost === 1);
});

/** Starts a host before an endpoint whose responses go on after a large part, and whose requests' deadlines pass once a caller got that part. */
const startHostOfLongResponses = async (t: ExecutionContext) => {
	const deadlines: Array<() => void> = [];
	const clock = {
		now: () => performance.now(),
		schedule(delayMs: number, callback: () => void) {
			if (delayMs < deadlineMs / 2) {
				return scheduleByTimer(delayMs, callback);
			}

			deadlines.push(callback);
			return () => undefined;
		},
	};
	const {callers, runs} = await startHostBeforeRaw(t, {kind: 'once', timeoutMs: deadlineMs}, {halls: ['hall-a'], clock}, ({req, socket}) => {
		socket.write(headOf(req, 'chunks', 0));
		writeBody(socket, 'chunks', largeBody);
	});
	const callUntilCut = async (headers: Readonly<Record<string, string>> = {}) => new Promise(resolve => {
		const [host, port] = callers.split(':');
		request({
			host, port, method: 'POST', path: '/p', agent: false, headers: {
				host: 'fleet', [headerNames.requestId]: 'q', [headerNames.apiKey]: 'key', ...headers,
			},
		}, res => {
			let bytes = 0;
			res.on('error', () => undefined);
			res.on('data', (chunk: Uint8Array) => {
				bytes += chunk.length;
				if (bytes === largeBody.length) {
					deadlines.at(-1)!();
				}
			});
			res.on('close', () => {
				resolve({status: res.statusCode, isWhole: res.complete, bytes});
			});
		}).end();
	});
	return {callers, runs, callUntilCut};
};

test('a response that still comes at the deadline says nothing of its endpoint, however much of it came', async t => {
	const {callers, runs, callUntilCut} = await startHostOfLongResponses(t);
	for (let call = 0; call < 3; call++) {
		t.deepEqual(await callUntilCut(), {status: 200, isWhole: false, bytes: largeBody.length});
	}

	const {status} = await callHost(callers);
	t.is(status, 503);
	t.is(runs(), 3);
});

test('an endpoint is not asked any more since callers gave its large responses less time than their route', async t => {
	const {runs, callUntilCut} = await startHostOfLongResponses(t);
	for (let call = 0; call < 5; call++) {
		t.deepEqual(await callUntilCut({[headerNames.deadline]: String(deadlineMs - 1000)}), {status: 200, isWhole: false, bytes: largeBody.length});
	}

	t.is(runs(), 5);
});

test('the length of a response is judged by the time, or the lack of room by the endpoint', t => {
	const lost = {end: 'lost', isOver: false, isOverloaded: false} as const;
	t.is(judgeEndpoint({
		...lost, excess: 'too_long', isOver: true, isOverloaded: true,
	}), 'failed');
	t.is(judgeEndpoint({...lost, excess: 'no_end', isOver: true}), 'failed');
	t.is(judgeEndpoint({
		...lost, excess: 'no_end', isOver: true, isOverloaded: true,
	}), 'abandoned');
	t.is(judgeEndpoint({...lost, excess: 'no_room'}), 'abandoned');
	t.is(judgeEndpoint({...lost, end: 'relayed', isServerError: true}), 'failed');
	t.is(judgeEndpoint({...lost, end: 'relayed'}), 'succeeded');
});

test('a host without room loses sound responses, or does not get its room back', async t => {
	// A tenth of the memory is the bound: one of these responses is held, and no two.
	const body = bodyOf(90_000);
	const {callers, logged} = await startHostBeforeRaw(t, {kind: 'once'}, {halls: ['hall-a', 'hall-a'], memoryMb: 1}, ({req, socket}) => {
		if (req.path === '/broken') {
			socket.write(headOf(req, 'chunks', 0));
			writeBody(socket, 'chunks', body);
			socket.end();
		} else {
			writeWhole({req, socket, status: req.path === '/error' ? '404 Not Found' : undefined}, 'chunks', req.path === '/long' ? largeBody : body);
		}
	});
	for (const [path, expected] of [['/long', 200], ['/broken', 502], ['/error', 404], ['/well', 200]] as const) {
		const {status} = await callHost(callers, {path});
		t.is(status, expected);
		// Only what is held can have a length for such a caller.
		t.like(await callInHttp10(callers, 'h'), {body});
	}

	const answers = await Promise.all(Array.from({length: 20}, async () => callHost(callers)));
	t.true(answers.every(answer => answer.status === 200 && answer.isWhole && answer.body === body));
	t.like(await callInHttp10(callers, 'h'), {body});
	await logged('response_broken');
});

for (const size of [700, 5000, 9000, 17_000, 70_000]) {
	test(`a response for which there is no room gets stuck, or is not whole: it comes in parts of ${size} bytes`, async t => {
		const body = bodyOf(400_000);
		const {callers} = await startHostBeforeRaw(t, {kind: 'once'}, {halls: ['hall-a'], memoryMb: 1}, async ({req, socket}) => {
			socket.write(headOf(req, 'chunks', 0));
			for (let at = 0; at < body.length; at += size) {
				writeBody(socket, 'chunks', body.slice(at, at + size));
				await setImmediate();
			}

			socket.write('0\r\n\r\n');
		});
		const answers = await Promise.all([callHost(callers), callHost(callers)]);
		t.true(answers.every(answer => answer.isWhole && answer.body === body));
	});
}

test('a body that comes in many small chunks is not whole', async t => {
	const body = bodyOf(200_000);
	const {callers} = await startHostBeforeRaw(t, {kind: 'once'}, {halls: ['hall-a']}, ({req, socket}) => {
		socket.write(headOf(req, 'chunks', 0));
		socket.write(Buffer.from([...body].map((byte, index) => index % 1000 === 999 ? `3e8\r\n${body.slice(0, 1000)}\r\n` : `1\r\n${byte}\r\n`).join('')));
		socket.write('0\r\n\r\n');
	});
	const expected = [...body].map((byte, index) => index % 1000 === 999 ? body.slice(0, 1000) : byte).join('');
	const answer = await callHost(callers);
	t.true(answer.isWhole && answer.body === expected);
});
