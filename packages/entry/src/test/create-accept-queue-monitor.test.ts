/**
What was seen: requests reached endpoints 0.6 to 0.9 s after their callers had given them up or their deadlines had passed, from the host
of a hall that got most of its requests; round trips to its peers took 50 to 200 ms then, and its timers were 10 to 40 ms late.

Order of events: many callers open connections to one host. Each turn of its event loop takes one of them, however many wait; the rest
waits in the system's queue, with its requests. A request that is read after 1.2 s has a caller that gave it up after one second; the
caller's close is read after it.

Cause: a request's age counted from when its head was read. Evidence: in a loop whose turns were counted, 20 connections that waited
together were taken in turns 1 to 20, one each; on the bench the measured wait reached 1.5 s.
*/
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {listenAt} from '@deckwheel/host-kit';
import {isAbandonedByCaller} from '../lib/admission/is-abandoned-by-caller.js';
import {createCallerConnections} from '../lib/host/create-caller-connections.js';
import {createAcceptQueueMonitor} from '../lib/own-health/create-accept-queue-monitor.js';

const waitMs = 700;

test('a connection to itself shows how long new connections wait', async t => {
	let time = 0;
	const server = createServer();
	const address = await listenAt(server, '127.0.0.1:0');
	const measured = await new Promise<number>(resolve => {
		const watch = createAcceptQueueMonitor({
			isBusy: () => true, onMeasured: resolve, now: () => time,
		});
		watch.start(address);
		t.teardown(() => {
			watch.close();
			server.closeAllConnections();
			server.close();
		});
		server.once('connection', (socket: Socket) => {
			time += waitMs;
			watch.accepted(socket);
		});
	});
	t.is(measured, waitMs);
});

test('nothing waits at a host without open requests, and none connects to it', async t => {
	const server = createServer();
	const address = await listenAt(server, '127.0.0.1:0');
	let connections = 0;
	server.on('connection', () => {
		connections++;
	});
	const measured = await new Promise<number>(resolve => {
		const watch = createAcceptQueueMonitor({
			isBusy: () => false, onMeasured: resolve, now: () => 0,
		});
		watch.start(address);
		t.teardown(() => {
			watch.close();
			server.close();
		});
	});
	t.is(measured, 0);
	t.is(connections, 0);
});

/** A host that took a caller's connection at 0 after a wait, and reads the first two requests on it at the given times. */
const readRequests = async (t: {teardown: (end: () => void) => void}, readAt: readonly number[]): Promise<readonly number[]> => {
	let time = 0;
	const connections = createCallerConnections(() => time);
	const waits: number[] = [];
	const server = createServer((_req: IncomingMessage, res: ServerResponse) => {
		time = readAt[waits.length]!;
		connections.noteRequest(res);
		waits.push(connections.waitedMs(res));
		res.end();
	});
	server.on('connection', (socket: Socket) => {
		connections.noteConnection(socket, waitMs);
	});
	const address = await listenAt(server, '127.0.0.1:0');
	const [host, port] = address.split(':');
	const caller = connect(Number(port), host);
	t.teardown(() => {
		caller.destroy();
		server.closeAllConnections();
		server.close();
	});
	for (const at of readAt) {
		caller.write(`GET /${at} HTTP/1.1\r\nhost: fleet\r\n\r\n`);
		await once(caller, 'data');
	}

	return waits;
};

test('a first request that is there with its connection waited with it; a later one did not', async t => {
	t.deepEqual(await readRequests(t, [5, 10]), [waitMs, 0]);
});

test('a request that was sent long after its connection came up did not wait with it', async t => {
	t.deepEqual(await readRequests(t, [waitMs + 1]), [0]);
});

const unreadTimeout = {ms: 1000, share: 1 / 3};

test('callers give up what may be sent again once it is unread for their patience', t => {
	const long = {callerMs: 10_000, isRetryable: true, unreadTimeout};
	t.false(isAbandonedByCaller({...long, waitedMs: 999}));
	t.true(isAbandonedByCaller({...long, waitedMs: 1000}));
	t.true(isAbandonedByCaller({...long, callerMs: 900, waitedMs: 300}));
	t.false(isAbandonedByCaller({...long, callerMs: 900, waitedMs: 299}));
	t.false(isAbandonedByCaller({...long, isRetryable: false, waitedMs: 5000}), 'what may run once is waited for');
	t.false(isAbandonedByCaller({...long, unreadTimeout: undefined, waitedMs: 5000}));
});
