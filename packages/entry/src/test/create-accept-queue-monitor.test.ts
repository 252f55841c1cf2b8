/**
Guards against requests that are forwarded to endpoints 0.6 to 0.9 s after their callers gave up or their deadlines passed.

This happens at a host to which many callers open connections. Each turn of its event loop accepts one connection, however many wait (20
that waited together were accepted in turns 1 to 20); the others wait in the queue of the operating system, with their requests, for up to
1.5 s on the bench. If the age of a request counts from when its head was read, a request that is read after 1.2 s looks new, though its
caller gave up after one second: the caller's close is read after the request. Other signs hardly show the wait: round trips to peers took
50 to 200 ms, and timers were 10 to 40 ms late.
*/
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {once} from 'node:events';
import test from 'ava';
import {listenAt} from '@deckwheel/host-kit';
import {isAbandonedByCaller} from '../lib/admission/is-abandoned-by-caller.js';
import {createCallerConnections} from '../lib/host/create-caller-connections.js';
import {createAcceptQueueMonitor} from '../lib/own-health/create-accept-queue-monitor.js';
import type {ConnectionRate} from '../lib/own-health/connection-rate.js';
import {isConnectionSurge} from '../lib/own-health/is-connection-surge.js';
import {stepConnectionRate} from '../lib/own-health/step-connection-rate.js';
import {isSheddingConnections} from '../lib/own-health/is-shedding-connections.js';

const waitMs = 700;

test('a connection of the host to itself measures how long new connections wait', async t => {
	let time = 0;
	const server = createServer();
	const address = await listenAt(server, '127.0.0.1:0');
	let acceptedUpTo = (): number => Number.NaN;
	const measured = await new Promise<number>(resolve => {
		const watch = createAcceptQueueMonitor({
			isBusy: () => true, onMeasured: resolve, now: () => time,
		});
		({acceptedUpTo} = watch);
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
	// What is accepted now may have come right after the measured connection, also if this process stood still since.
	time += 1000;
	t.is(acceptedUpTo(), 0);
});

/** A connection from a caller on another machine. */
const callerSocket: Pick<Socket, 'remoteAddress' | 'remotePort'> = {remoteAddress: '127.0.0.2', remotePort: 1};

test('a host that gets the connections of others reads them after a long wait, and calls itself ready at once when the queue is empty', async t => {
	let time = 0;
	let waits = [waitMs, 0];
	const server = createServer();
	const address = await listenAt(server, '127.0.0.1:0');
	const watch = createAcceptQueueMonitor({isBusy: () => true, onMeasured: () => undefined, now: () => time});
	t.teardown(() => {
		watch.close();
		server.closeAllConnections();
		server.close();
	});
	// A surge before the first tick.
	for (let count = 0; count < 200; count++) {
		t.false(watch.accepted(callerSocket));
	}

	time += 1000;
	const states: Array<{isClosed: boolean; isQueueLong: boolean}> = [];
	await new Promise<void>(resolve => {
		server.on('connection', (socket: Socket) => {
			const [wait = 0, ...rest] = waits;
			waits = rest;
			time += wait;
			t.false(watch.accepted(socket));
			setImmediate(() => {
				states.push({isClosed: watch.accepted(callerSocket), isQueueLong: watch.isQueueLong()});
				if (states.length === 2) {
					resolve();
				}
			});
		});
		watch.start(address);
	});
	t.deepEqual(states, [{isClosed: true, isQueueLong: true}, {isClosed: false, isQueueLong: true}]);
	time += 2500;
	t.false(watch.isQueueLong());
});

test('connections are shed without a surge, or the shedding flaps between its two bounds', t => {
	let isShedding = false;
	for (const [waitedMs, expected] of [[0, false], [200, false], [201, true], [150, true], [51, true], [50, false], [150, false]] as const) {
		isShedding = isSheddingConnections({wasShedding: isShedding, waitedMs, isSurge: true});
		t.is(isShedding, expected, `${waitedMs} ms`);
	}

	t.false(isSheddingConnections({wasShedding: false, waitedMs: 1000, isSurge: false}));
});

test('a higher rate of connections is a surge for ever, or a burst that is less than threefold is one', t => {
	const play = (perSecond: number, seconds: number, before: ConnectionRate): ConnectionRate => {
		let rate = before;
		for (let passedMs = 0; passedMs < seconds * 1000; passedMs += 200) {
			rate = stepConnectionRate(rate, perSecond / 5, 200);
		}

		return rate;
	};

	const calm = play(30, 120, {recent: 0, usual: 0});
	t.false(isConnectionSurge(calm));
	t.false(isConnectionSurge(play(75, 5, calm)));
	t.true(isConnectionSurge(play(210, 2, calm)));
	t.true(isConnectionSurge(play(210, 5, calm)));
	t.false(isConnectionSurge(play(210, 60, calm)));
	t.false(isConnectionSurge(play(25, 2, {recent: 0, usual: 0})));
});

test('a host without open requests reports no wait and does not connect to itself', async t => {
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

/** Starts a host that accepts a caller's connection at time 0, after a wait of `waitMs`, and reads the requests on the connection at the times `readAt`. Returns the wait that the host counts for each request. Times are in ms. */
const measureRequestWaits = async (t: {teardown: (end: () => void) => void}, readAt: readonly number[]): Promise<readonly number[]> => {
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
		connections.noteConnection(socket, {waitedMs: waitMs, earliestAt: 0});
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

test('the first request that arrives with its connection counts the wait of the connection; a later one does not', async t => {
	t.deepEqual(await measureRequestWaits(t, [5, 10]), [waitMs, 0]);
});

test('a request that is sent long after its connection came up does not count the wait of the connection', async t => {
	t.deepEqual(await measureRequestWaits(t, [waitMs + 1]), [0]);
});

const unreadTimeout = {ms: 1000, share: 1 / 3};

test('a retryable request that waited unread for as long as callers wait before they retry counts as abandoned', t => {
	const inputs = {callerMs: 10_000, isRetryable: true, unreadTimeout};
	t.false(isAbandonedByCaller({...inputs, waitedMs: 999}));
	t.true(isAbandonedByCaller({...inputs, waitedMs: 1000}));
	t.true(isAbandonedByCaller({...inputs, callerMs: 900, waitedMs: 300}));
	t.false(isAbandonedByCaller({...inputs, callerMs: 900, waitedMs: 299}));
	t.false(isAbandonedByCaller({...inputs, isRetryable: false, waitedMs: 5000}), 'what may run once is waited for');
	t.false(isAbandonedByCaller({...inputs, unreadTimeout: undefined, waitedMs: 5000}));
});
