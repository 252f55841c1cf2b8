/**
Guards against misleading refusals while a host shuts down. The host returns its rights when it stops listening, and draws nothing from then
on, but the requests that it may still forward (`mayForward`) need rights.

A request that had to end before the shutdown did was refused for lack of rights (429, retry after 2 s), although the budget had plenty left
and another host would have accepted the request at once.
*/
import test from 'ava';
import type {RightsStore} from '../adapter/rights-store.js';
import {createManualClock} from './lib/create-manual-clock.js';
import {callHost} from './lib/call-host.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {headerNames} from './lib/header-names.js';
import {openCaller} from './lib/open-caller.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, startHost} from './lib/start-host.js';

/** When the late request arrives, in ms after the shutdown began: well after the host stopped listening, and well before the shutdown ends. */
const lateMs = 10_000;

const started: Array<() => unknown> = [];

test.after.always(async () => {
	await Promise.all(started.map(async kill => kill()));
});

const launch = async (store: RightsStore) => {
	const clock = createManualClock();
	const host = await startHost(store, {schedule: clock.schedule, now: clock.now});
	const endpoint = await startEndpoint('e', (_req, res) => {
		res.end('fine');
	});
	started.push(async () => host.entry.kill(), () => {
		endpoint.close();
	});
	host.entry.configure(makeConfig({}, 100_000));
	host.entry.listEndpoints([endpoint.listed]);
	return {...host, clock};
};

test('a request that lacks rights because its host shuts down is told to retry at another host at once', async t => {
	const {callers, entry, clock, logged} = await launch(createMemoryRightsStore());
	const before = await callHost(callers, {headers: {[headerNames.tokenCount]: '100,20'}});
	const open = await openCaller(callers);
	open.sendHead('slow', ['content-length: 4']);
	const late = await openCaller(callers);
	void entry.stop();
	clock.advance(lateMs);
	// The host has returned its free rights by now. The request with an incomplete body keeps the shutdown from ending.
	late.sendHead('late', ['content-length: 0', `${headerNames.deadline}: 1000`, `${headerNames.tokenCount}: 100,20`]);
	const response = await late.received(text => text.includes('}'));
	await logged('stopping');
	t.is(before.status, 200);
	t.regex(response, /^HTTP\/1\.1 503/);
	t.regex(response, /retry-after: 0\.1\r/i);
	t.regex(response, /host_stopping/);
});
