/**
Guards against requests that reach endpoints after their callers have left or their deadlines have passed, so that endpoints work for
nobody. On one day, 29 requests did so, the latest .8 s after its deadline.

This came about in two ways. A request waits for rights on its budget, its caller closes the connection meanwhile, and the request is sent
once the rights are there. Or the deadline of a request passes while this process is busy with other requests, and the request is sent
before the timer of its deadline fires.

Cause: the host listened for the close of a response from the first attempt on, and Node.js does not emit an earlier close again; and
only the timer told that a deadline had passed. On the old code, `isOver()` stayed `false` for a response that was closed before.
*/
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect} from 'node:net';
import test from 'ava';
import {listenAt} from '@deckwheel/host-kit';
import {createRequestEnd} from '../lib/request/create-request-end.js';

const deadline = 1000;

const never = () => () => undefined;

type Scope = {teardown: (end: () => void) => void};

/** Sends a request to a server. Returns the caller's connection and the response to the request, whose head the server has read. */
const startRequest = async (t: Scope) => {
	const server = createServer();
	const listening = await listenAt(server, '127.0.0.1:0');
	const [address, port] = listening.split(':');
	const caller = connect(Number(port), address);
	const requested = once(server, 'request');
	caller.write('GET /p HTTP/1.1\r\nhost: fleet\r\n\r\n');
	const [, res] = await requested as [IncomingMessage, ServerResponse];
	t.teardown(() => {
		caller.destroy();
		server.closeAllConnections();
		server.close();
	});
	return {caller, res};
};

const createEnd = (res: ServerResponse, now: () => number) => createRequestEnd({
	res, deadline, shutdownSignal: new AbortController().signal, schedule: never, now,
});

test('a caller that left before the first attempt ends its request', async t => {
	const {caller, res} = await startRequest(t);
	const closed = once(res, 'close');
	caller.destroy();
	await closed;
	const end = createEnd(res, () => 0);
	t.true(end.isOver());
	t.true(end.signal.aborted);
	t.is(end.endedBy(), 'caller_left');
});

test('a deadline that has passed ends its request, even if the timer has not fired yet', async t => {
	const {res} = await startRequest(t);
	let time = deadline - 1;
	const end = createEnd(res, () => time);
	t.false(end.isOver());
	t.is(end.endedBy(), undefined);
	time = deadline;
	t.true(end.isOver());
	t.is(end.endedBy(), 'deadline');
});

test('a caller that leaves during the request ends it, and is reported rather than a passed deadline', async t => {
	const {caller, res} = await startRequest(t);
	let time = 0;
	const end = createEnd(res, () => time);
	const closed = once(res, 'close');
	caller.destroy();
	await closed;
	time = deadline;
	t.true(end.isOver());
	t.is(end.endedBy(), 'caller_left');
});

test('a caller that sends the end of its connection ends its request, even if it still has bytes to read', async t => {
	const {caller, res} = await startRequest(t);
	const end = createEnd(res, () => 0);
	// More than the buffers of a loopback connection hold.
	res.write(new Uint8Array(32 * 1024 * 1024));
	const endRead = once(res.req.socket, 'end');
	caller.end();
	await endRead;
	t.true(end.signal.aborted);
	t.true(end.isOver());
	t.is(end.endedBy(), 'caller_left');
});
