/**
The request of a caller that gave it up, as its wait shows, is refused and never sent on (story: create-accept-queue-monitor.test.ts). A deadline counts
from when the request came to this machine, as far as that is known.
*/
import {createServer} from 'node:http';
import test from 'ava';
import {listenAt} from '@deckwheel/host-kit';
import type {HostContext} from '../lib/request/host-context.js';
import {serveRequest} from '../lib/request/serve-request.js';
import {callHost} from './lib/call-host.js';
import {headerNames} from './lib/header-names.js';
import {makeConfig, makeRoute} from './lib/start-host.js';

/** A host whose only work is to take requests in; what is asked of it beyond that fails the test. */
const takeIn = async (t: {teardown: (end: () => void) => void}, waitedMs: number, kind: 'repeatable' | 'once') => {
	const config = makeConfig({routes: [makeRoute({kind})]});
	const sent: number[] = [];
	const host = {
		config: () => config,
		headerNames,
		now: () => 10_000,
		log: () => undefined,
		closesAfter: () => false,
		waitedMs: () => waitedMs,
		unreadTimeout: {ms: 1000, share: 1 / 3},
		isShedding: () => false,
		retries: {noteRequest: () => undefined},
		mayForward(deadline: number) {
			sent.push(deadline);
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
	return {address, sent};
};

const headers = {[headerNames.deadline]: '6000'};

test('a request whose caller gave it up is refused at once', async t => {
	const {address, sent} = await takeIn(t, 1200, 'repeatable');
	const {status, body} = await callHost(address, {headers});
	t.is(status, 503);
	t.like(JSON.parse(body), {error: {code: 'host_overloaded', ran: 'not_run'}});
	t.deepEqual(sent, []);
});

test('a shorter wait is taken off the time that is left', async t => {
	const {address, sent} = await takeIn(t, 400, 'repeatable');
	await callHost(address, {headers});
	t.deepEqual(sent, [10_000 - 400 + 6000]);
});

test('a request that may run once is waited for by its caller, to its deadline', async t => {
	const {address, sent} = await takeIn(t, 1200, 'once');
	await callHost(address, {headers});
	t.deepEqual(sent, [10_000 - 1200 + 6000]);
});
