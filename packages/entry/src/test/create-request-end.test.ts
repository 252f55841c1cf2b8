/**
What was seen: requests reached endpoints after their callers had left or their deadlines had passed (29 on one day, the latest .8 s
after its deadline), and endpoints worked on for them.

Order of events, of the two that are mended here: a request waits for rights on its budget, and its caller closes the connection
meanwhile; then the rights come, and it is sent. Or its deadline passes while this process is busy with other requests, and it is sent
before the timer of the deadline fires.

Cause: what ends a request was watched for from the first try on, and a close that came before it was never told again; the deadline
was known by its timer alone. Evidence: on the code before, an answer that is closed already gives `isOver() === false` for good.
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

/** A request that a host has read, and its caller's connection. */
const openRequest = async (t: Scope) => {
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

const watch = (res: ServerResponse, now: () => number) => createRequestEnd({
	res, deadline, shutdownSignal: new AbortController().signal, schedule: never, now,
});

test('a caller that left before the first try has left', async t => {
	const {caller, res} = await openRequest(t);
	const closed = once(res, 'close');
	caller.destroy();
	await closed;
	const end = watch(res, () => 0);
	t.true(end.isOver());
	t.true(end.signal.aborted);
	t.is(end.endedBy(), 'caller_left');
});

test('a deadline that passed has passed, though its timer did not fire yet', async t => {
	const {res} = await openRequest(t);
	let time = deadline - 1;
	const end = watch(res, () => time);
	t.false(end.isOver());
	t.is(end.endedBy(), undefined);
	time = deadline;
	t.true(end.isOver());
	t.is(end.endedBy(), 'deadline');
});

test('a caller that leaves later is noticed as well, and goes before the deadline', async t => {
	const {caller, res} = await openRequest(t);
	let time = 0;
	const end = watch(res, () => time);
	const closed = once(res, 'close');
	caller.destroy();
	await closed;
	time = deadline;
	t.true(end.isOver());
	t.is(end.endedBy(), 'caller_left');
});
