/**
A request that waited so long that its caller must have given it up is refused and never forwarded (create-accept-queue-monitor.test.ts describes the
failure that this guards against). A deadline counts from when the request came to this host, as far as that is known.
*/
import {createServer} from 'node:http';
import test from 'ava';
import {listenAt} from '@deckwheel/host-kit';
import {createBodyRoom} from '../lib/held-bytes/create-body-room.js';
import {createHeldBytes} from '../lib/held-bytes/create-held-bytes.js';
import type {HostContext} from '../lib/request/host-context.js';
import {serveRequest} from '../lib/request/serve-request.js';
import {callHost} from './lib/call-host.js';
import {headerNames} from './lib/header-names.js';
import {makeConfig, makeRoute} from './lib/start-host.js';

const createRoom = () => createHeldBytes(1_000_000, {increment: () => undefined, recordMax: () => undefined});

/**
Starts a host that reads and admits requests and forwards none. Whatever else a request asks of the host fails the test.

@param waitedMs How long each request waited before its connection was accepted, in ms.
@returns The host's address, and the deadlines for which it was asked whether a request may be forwarded, in monotonic ms.
*/
const startRequestReader = async (t: {teardown: (end: () => void) => void}, waitedMs: number, kind: 'repeatable' | 'once') => {
	const config = makeConfig({routes: [makeRoute({kind})]});
	const forwardDeadlines: number[] = [];
	const host = {
		config: () => config,
		configProof: () => ({ageMs: 0, applyMs: undefined}),
		isConfigOutdated: () => false,
		headerNames,
		random: () => 0,
		now: () => 10_000,
		log: () => undefined,
		closesAfter: () => false,
		waitedMs: () => waitedMs,
		unreadTimeout: {ms: 1000, share: 1 / 3},
		rankOf: () => 0,
		isShedding: () => false,
		bodyRoom: createBodyRoom(createRoom(), createRoom()),
		retries: {noteRequest: () => undefined},
		mayForward(deadline: number) {
			forwardDeadlines.push(deadline);
			return false;
		},
	} as unknown as HostContext;
	const server = createServer((req, res) => {
		void serveRequest(req, res, host);
	});
	const address = await listenAt(server, '127.0.0.1:0');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return {address, forwardDeadlines};
};

const headers = {[headerNames.deadline]: '6000'};

test('a request that its caller has given up is refused and not forwarded', async t => {
	const {address, forwardDeadlines} = await startRequestReader(t, 1200, 'repeatable');
	const {status, body} = await callHost(address, {headers});
	t.is(status, 503);
	t.like(JSON.parse(body), {error: {code: 'host_overloaded', ran: 'not_run'}});
	t.deepEqual(forwardDeadlines, []);
});

test('the deadline of a request counts from when the request began to wait', async t => {
	const {address, forwardDeadlines} = await startRequestReader(t, 400, 'repeatable');
	await callHost(address, {headers});
	t.deepEqual(forwardDeadlines, [10_000 - 400 + 6000]);
});

test('a request that may run once is not taken for given up before its deadline', async t => {
	const {address, forwardDeadlines} = await startRequestReader(t, 1200, 'once');
	await callHost(address, {headers});
	t.deepEqual(forwardDeadlines, [10_000 - 1200 + 6000]);
});
