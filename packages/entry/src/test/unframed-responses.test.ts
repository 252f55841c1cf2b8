/** Guards against responses with neither a length nor chunks that are taken for whole although their connection broke, or for broken although it ended. */
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import type {Route} from '../config/route.js';
import {headerNames} from './lib/header-names.js';
import {openStream} from './lib/open-stream.js';
import {eventually} from './lib/start-crashing-fleet.js';
import type {Answer} from './lib/start-endpoint.js';
import {startHostBefore} from './lib/start-host-before.js';

/** How an endpoint ends its connection after the bytes of its response. It resets it once the caller has got an event, or at once where none is on its way. */
type Ending = 'close' | 'reset';

type Response = {readonly bytes: string; readonly ending: Ending};

/** Responds with a head that states no length and no chunks, and these bytes. */
const respondUnframed = (id: string, {socket}: ServerResponse, {bytes, ending}: Response): void => {
	socket!.write(`HTTP/1.1 200 OK\r\n${headerNames.requestId}: ${id}\r\n${headerNames.stamp}: e\r\nContent-Type: text/event-stream\r\n\r\n${bytes}`);
	if (ending === 'close') {
		socket!.end();
	}
};

/** Starts a host before two endpoints; the first response is unframed, and any later one is the rest of a stream. */
const callUnframed = async (t: ExecutionContext, route: Partial<Route>, response: Response) => {
	let runs = 0;
	let socket: Socket | undefined;
	const answer: Answer = (req, res) => {
		if (runs++ === 0) {
			socket = res.socket!;
			respondUnframed(String(req.headers[headerNames.requestId]), res, response);
		} else {
			res.end('id: 2\ndata: rest\n\n');
		}
	};

	const host = await startHostBefore(t, route, [answer, answer]);
	const stream = openStream(host.callers, 's1');
	if (response.ending === 'reset' && response.bytes.includes('\n\n')) {
		await stream.first;
		socket!.resetAndDestroy();
	} else if (response.ending === 'reset') {
		await eventually(() => socket !== undefined);
		socket!.resetAndDestroy();
	}

	return {...await stream.ended, runs};
};

const firstEvent = 'id: 1\ndata: first\n\n';

const onceStream = {kind: 'stream', isResumable: false} as const;

const resumableStream = {kind: 'stream', isResumable: true} as const;

test('a stream that ends with its connection after a whole event is taken for broken', async t => {
	const {status, body, isWhole, runs} = await callUnframed(t, resumableStream, {bytes: firstEvent, ending: 'close'});
	t.deepEqual({
		status, body, isWhole, runs,
	}, {
		status: 200, body: firstEvent, isWhole: true, runs: 1,
	});
});

test('a stream that ends with its connection inside an event looks whole', async t => {
	const {body, isWhole, runs} = await callUnframed(t, onceStream, {bytes: `${firstEvent}id: 2\ndata: half`, ending: 'close'});
	t.deepEqual({body, isWhole, runs}, {body: firstEvent, isWhole: false, runs: 1});
});

test('a stream whose connection is reset after a whole event looks whole', async t => {
	const {body, isWhole, runs} = await callUnframed(t, onceStream, {bytes: firstEvent, ending: 'reset'});
	t.deepEqual({body, isWhole, runs}, {body: firstEvent, isWhole: false, runs: 1});
});

for (const {bytes, ending} of [{bytes: `${firstEvent}id: 2\ndata: half`, ending: 'close'}, {bytes: firstEvent, ending: 'reset'}] as const) {
	test(`a stream that may be resumed is not taken up elsewhere after a ${ending}`, async t => {
		const {status, body, isWhole, runs} = await callUnframed(t, resumableStream, {bytes, ending});
		t.deepEqual({
			status, body, isWhole, runs,
		}, {
			status: 200, body: `${firstEvent}id: 2\ndata: rest\n\n`, isWhole: true, runs: 2,
		});
	});
}

test('a body that ends with its connection is taken for broken', async t => {
	const {status, body, isWhole, runs} = await callUnframed(t, {kind: 'once'}, {bytes: 'body', ending: 'close'});
	t.deepEqual({
		status, body, isWhole, runs,
	}, {
		status: 200, body: 'body', isWhole: true, runs: 1,
	});
});

test('a body whose connection is reset is passed on', async t => {
	const {status, runs} = await callUnframed(t, {kind: 'once'}, {bytes: 'body', ending: 'reset'});
	t.deepEqual({status, runs}, {status: 502, runs: 1});
});
