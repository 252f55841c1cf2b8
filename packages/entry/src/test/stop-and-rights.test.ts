/**
The story. A host that stops gives its rights back where it ceases to listen, and draws nothing more. What it may still send on by
`mayForward` needs rights all the same.

The evidence. A request that must end before the stop does was refused for want of rights (429, come back in 2 s), though the budget
has plenty and another host would take it at once.
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

/** Well after the linger, and well before the end of the stop, in ms after the signal. */
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

test('a request that lacks rights because its host stops is told that another host takes it at once', async t => {
	const {callers, entry, clock, logged} = await launch(createMemoryRightsStore());
	const before = await callHost(callers, {headers: {[headerNames.tokenCount]: '100,20'}});
	const open = await openCaller(callers);
	open.sendHead('slow', ['content-length: 4']);
	const late = await openCaller(callers);
	void entry.stop();
	clock.advance(lateMs);
	// The first rights have gone back once the store has seen it; the request with half a body holds the stop open.
	late.sendHead('late', ['content-length: 0', `${headerNames.deadline}: 1000`, `${headerNames.tokenCount}: 100,20`]);
	const answer = await late.received(text => text.includes('}'));
	await logged('stopping');
	t.is(before.status, 200);
	t.regex(answer, /^HTTP\/1\.1 503/);
	t.regex(answer, /retry-after: 0\.1\r/i);
	t.regex(answer, /host_stopping/);
});
