/**
Guards against bytes without end around a response of an endpoint: heads, informational responses, the framing of chunks, and bodies that nobody needs. Each
has to end its connection after few bytes, whatever time the request has.
*/
import {Buffer} from 'node:buffer';
import type {AddressInfo, Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {askHealth} from '../lib/response-ends/ask-health.js';
import {headerNames} from './lib/header-names.js';
import {sendOneAttempt} from './lib/send-one-attempt.js';
import {startRawServer} from './lib/start-raw-server.js';

/** What a host may read, with what the kernel and the two processes hold of a connection on which nothing is read any more, in bytes. */
const maxBytes = 8 * 1024 * 1024;

/** Longer than any test: no verdict rests on the end of a wait. */
const endlessMs = 600_000;

/** Sends a piece again and again until the connection closes, and tells how many bytes were sent then. */
const sendAgain = async (socket: Socket, piece: Uint8Array): Promise<number> => new Promise(resolve => {
	let sentBytes = 0;
	const send = (): void => {
		sentBytes += piece.length;
		// The end of the trial where nothing bounds it.
		if (sentBytes > 4 * maxBytes) {
			socket.destroy();
		} else if (!socket.destroyed) {
			socket.write(piece, () => {
				setImmediate(send);
			});
		}
	};

	socket.on('close', () => {
		resolve(sentBytes);
	});
	send();
});

/** Starts an endpoint that sends the start of a response and then a piece without end. `sent`: how many bytes it had sent when the connection closed. */
const startEndless = async (t: ExecutionContext, start: string, piece: string) => {
	let resolveSent: (bytes: number | Promise<number>) => void;
	const sent = new Promise<number>(resolve => {
		resolveSent = resolve;
	});
	const server = await startRawServer(socket => {
		socket.write(start);
		resolveSent(sendAgain(socket, Buffer.from(piece.repeat(Math.ceil(16_384 / piece.length)))));
	});
	t.teardown(() => {
		server.close();
	});
	return {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sent};
};

const ok = 'HTTP/1.1 200 OK\r\n';
const continued = 'HTTP/1.1 100 Continue\r\n\r\n';

for (const [what, start, piece, reason] of [
	['a header', `${ok}a: `, 'a', 'HPE_HEADER_OVERFLOW'],
	['headers', ok, 'a: b\r\n', 'HPE_HEADER_OVERFLOW'],
	['informational responses', continued, continued, 'TOO_MANY_INFORMATIONAL'],
	['bytes that are no response', 'a', 'a', 'HPE_INVALID_CONSTANT'],
] as const) {
	test(`${what} without end: read until the deadline`, async t => {
		const {address, sent} = await startEndless(t, start, piece);
		t.deepEqual(await sendOneAttempt(address), {type: 'lost', reason, isInvalid: true});
		t.true(await sent <= maxBytes);
	});

	test(`a question for health reads ${what} without end`, async t => {
		const {address, sent} = await startEndless(t, start, piece);
		t.is(await askHealth({address, instance: 'e0'}, {
			path: '/', instanceHeader: headerNames.instance, connectMs: endlessMs, answerMs: endlessMs,
		}), 'reached');
		t.true(await sent <= maxBytes);
	});
}

const chunked = `${ok}transfer-encoding: chunked\r\n\r\n`;

for (const [what, start, piece] of [
	['an extension of a chunk', `${chunked}5;a=`, 'a'],
	['a trailer', `${chunked}5\r\nwhole\r\n0\r\na: `, 'a'],
	['trailers', `${chunked}5\r\nwhole\r\n0\r\n`, 'a: b\r\n'],
] as const) {
	test(`${what} without end: read until the deadline, or the body counts as whole`, async t => {
		const {address, sent} = await startEndless(t, start, piece);
		const result = await sendOneAttempt(address);
		if (result.type === 'answered') {
			const {response} = result;
			response.resume();
			if (!response.closed) {
				await new Promise(resolve => {
					response.once('close', resolve);
				});
			}

			t.false(response.complete);
		} else {
			t.is(result.type, 'lost');
		}

		t.true(await sent <= maxBytes);
	});
}

test('a question for health reads a body without end', async t => {
	const {address, sent} = await startEndless(t, `${ok}\r\n`, 'a');
	t.is(await askHealth({address, instance: 'e0'}, {
		path: '/', instanceHeader: headerNames.instance, connectMs: endlessMs, answerMs: endlessMs,
	}), 'reached');
	t.true(await sent <= maxBytes);
});

for (const [what, head, type] of [
	['that was sent to the wrong endpoint', 'HTTP/1.1 421 Misdirected Request\r\n', 'misdirected'],
	['that did not run', `HTTP/1.1 503 Service Unavailable\r\n${headerNames.notRun}: 1\r\n`, 'not_run'],
] as const) {
	test(`the body of the response to a request ${what} is read without end`, async t => {
		const {address, sent} = await startEndless(t, `${head}\r\n`, 'a');
		t.like(await sendOneAttempt(address), {type});
		t.true(await sent <= maxBytes);
	});

	test(`the body of the response to a request ${what} keeps its connection open though nothing comes`, async t => {
		let resolveClosed: () => void;
		const closed = new Promise<void>(resolve => {
			resolveClosed = resolve;
		});
		const server = await startRawServer(socket => {
			socket.on('close', () => {
				resolveClosed();
			});
			socket.write(`${head}content-length: 9\r\n\r\na`);
		});
		t.teardown(() => {
			server.close();
		});
		const result = await sendOneAttempt(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		t.is(result.type, type);
		await closed;
	});
}
