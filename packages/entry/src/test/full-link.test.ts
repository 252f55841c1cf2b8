/** A request for which the link of its host has no room is refused before it reaches an endpoint, and says that another host can take it at once. */
import test from 'ava';
import {callHost} from './lib/call-host.js';
import {createManualClock} from './lib/create-manual-clock.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

/** So slow that a single body of `largeBody` fills the link, in Mbit/s. The clock of the hosts stands still, so that the link stays full. */
const slowLinkMbps = 0.0001;

const largeBody = 'x'.repeat(900);

const start = async (t: {teardown: (end: () => void) => void}, options: Parameters<typeof startHost>[1]) => {
	const host = await startHost(createMemoryRightsStore(), {...options, now: createManualClock().now});
	const endpoint = await startEndpoint('e1', (_req, res) => {
		res.end('fine');
	});
	t.teardown(endpoint.close);
	t.teardown(host.entry.kill);
	host.entry.configure(makeConfig({
		routes: [makeRoute({pathPrefix: '/urgent/', priority: 2}), makeRoute({name: 'other', pathPrefix: '/other/', priority: 4})],
	}));
	host.entry.listEndpoints([endpoint.listed]);
	return {...host, endpoint};
};

test('a request that the full link of its host cannot carry reaches an endpoint', async t => {
	const {callers, endpoint, logged, events} = await start(t, {capacity: {linkMbps: slowLinkMbps}});
	const first = await callHost(callers, {path: '/urgent/', body: largeBody});
	const second = await callHost(callers, {path: '/other/', body: largeBody});
	await logged('request_refused');
	t.deepEqual([first.status, second.status], [200, 503]);
	t.like(JSON.parse(second.body), {error: {code: 'host_overloaded', ran: 'not_run'}});
	t.true(Number(second.headers['retry-after']) > 0 && Number(second.headers['retry-after']) < 0.1);
	t.is(endpoint.seen.length, 1);
	t.like(events.find(({event}) => event === 'request_refused')!.fields, {cause: 'link', rank: 1, link_mbps: slowLinkMbps});
	t.true(events.some(({event}) => event === 'link_full_began'));
});

test('a host whose link is full closes the connections of callers or is not ready', async t => {
	const {callers, ready} = await start(t, {capacity: {linkMbps: slowLinkMbps}});
	await callHost(callers, {path: '/urgent/', body: largeBody});
	const refused = await callHost(callers, {path: '/urgent/', body: largeBody, headers: {connection: 'keep-alive'}});
	t.is(refused.status, 503);
	t.not(refused.headers.connection, 'close');
	const readiness = await callHost(ready, {path: '/'});
	t.is(readiness.status, 200);
});

test('a host that does not know the rate of its link refuses requests for it', async t => {
	const {callers} = await start(t, {});
	const responses = await Promise.all(Array.from({length: 20}, async () => callHost(callers, {path: '/other/', body: largeBody})));
	t.true(responses.every(({status}) => status === 200));
});
