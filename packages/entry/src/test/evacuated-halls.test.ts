/**
What was seen: 99 requests reached endpoints of a hall that the operators had ordered to be evacuated, from every host, until the order
was taken back; endpoints there were cold after it, and all hosts went back to them at once.

Order of events: the order stands in the store; each host goes on choosing endpoints of that hall.

Cause: no host read such orders, and no rule of the choice knew of them, of warm-ups or of regions. Evidence: with the
rule taken out of `findExclusion`, 20 of 20 requests go to the evacuated hall, the nearer one.
*/
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {callHost} from './lib/call-host.js';
import {createHandClock} from './lib/create-hand-clock.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint, type Answer, type TestEndpoint} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

const requestCount = 20;

/** More than any spacing of requests at a cold endpoint, in ms. */
const beyondColdIntervalMs = 5000;

const respondOk: Answer = (_req, res) => {
	res.end('fine');
};

const warmingService = {
	name: 's', maxConnections: 100, tokensPerEvent: 0, warmupMs: 3000, warmupPerSecond: 6.6,
};

type Scope = {teardown: (end: () => Promise<void>) => void};
type ConfigChanges = Parameters<typeof makeConfig>[0];

const startHostAndEndpoints = async (t: Scope, {near = respondOk, far = respondOk, config = {}}: {near?: Answer; far?: Answer; config?: ConfigChanges} = {}) => {
	const clock = createHandClock();
	const [nearEndpoint, farEndpoint] = await Promise.all([startEndpoint('near', near, 'hall-a'), startEndpoint('far', far, 'hall-b')]);
	const host = await startHost(createMemoryRightsStore(), {now: clock.now, schedule: clock.schedule, warmup: {overage: 1.5, slack: 5}});
	t.teardown(async () => {
		await host.entry.kill();
		nearEndpoint.close();
		farEndpoint.close();
	});
	host.entry.configure(makeConfig(config));
	host.entry.listEndpoints([nearEndpoint.listed, farEndpoint.listed]);
	const sendRequests = async (): Promise<ReadonlySet<number>> => {
		const statuses = new Set<number>();
		for (let i = 0; i < requestCount; i++) {
			const {status} = await callHost(host.callers);
			statuses.add(status);
			await nextTurn();
		}

		return statuses;
	};

	return {
		host, clock, near: nearEndpoint, far: farEndpoint, sendRequests,
	};
};

const requestsSeenBy = ({seen}: TestEndpoint): number => seen.length;

test('a hall that is evacuated gets no request; once the order is taken back it gets them again', async t => {
	const {host, near, far, sendRequests} = await startHostAndEndpoints(t);
	host.entry.evacuateHalls(new Set(['hall-a']));
	t.deepEqual(await sendRequests(), new Set([200]));
	t.deepEqual([requestsSeenBy(near), requestsSeenBy(far)], [0, requestCount]);
	host.entry.evacuateHalls(new Set());
	await sendRequests();
	t.deepEqual([requestsSeenBy(near), requestsSeenBy(far)], [requestCount, requestCount]);
});

test('what runs in a hall that is evacuated ends whole', async t => {
	const {host, near} = await startHostAndEndpoints(t, {
		near(_req, res) {
			res.write('the first ');
			host.entry.evacuateHalls(new Set(['hall-a']));
			setImmediate(() => {
				res.end('and the last');
			});
		},
	});
	const {status, body, isWhole} = await callHost(host.callers);
	t.like({status, body, isWhole}, {status: 200, body: 'the first and the last', isWhole: true});
	t.is(requestsSeenBy(near), 1);
});

test('where all halls are evacuated, callers are refused at once, with a code of its own and a time to come back', async t => {
	const {host, near, far} = await startHostAndEndpoints(t);
	host.entry.evacuateHalls(new Set(['hall-a', 'hall-b']));
	const {status, headers, body} = await callHost(host.callers);
	t.is(status, 503);
	t.true(Number(headers['retry-after']) > 0);
	t.like(JSON.parse(body), {error: {code: 'endpoints_evacuated', ran: 'not_run'}});
	t.is(requestsSeenBy(near) + requestsSeenBy(far), 0);
});

test('an order for a hall that nobody knows changes nothing', async t => {
	const {host, near, sendRequests} = await startHostAndEndpoints(t);
	host.entry.evacuateHalls(new Set(['hall-z']));
	t.deepEqual(await sendRequests(), new Set([200]));
	t.is(requestsSeenBy(near), requestCount);
});

test('endpoints of a hall that is reopened are taken to be cold for a while', async t => {
	const {host, clock, near, far, sendRequests} = await startHostAndEndpoints(t, {config: {services: new Map([['s', warmingService]])}});
	host.entry.evacuateHalls(new Set(['hall-a']));
	clock.advance(beyondColdIntervalMs);
	host.entry.evacuateHalls(new Set());
	t.deepEqual(await sendRequests(), new Set([200]));
	t.deepEqual([requestsSeenBy(near), requestsSeenBy(far)], [0, requestCount]);
	clock.advance(warmingService.warmupMs);
	await sendRequests();
	t.is(requestsSeenBy(near), requestCount, 'warm by now');
});

test('a host that operators may order to evacuate halls sends nothing before it knows their orders', async t => {
	const endpoint = await startEndpoint('near', respondOk);
	const host = await startHost(createMemoryRightsStore(), {hasEvacuations: true});
	t.teardown(async () => {
		await host.entry.kill();
		endpoint.close();
	});
	host.entry.configure(makeConfig());
	host.entry.listEndpoints([endpoint.listed]);
	const before = await callHost(host.callers);
	t.is(before.status, 503);
	t.like(JSON.parse(before.body), {error: {code: 'not_ready'}});
	const isReady = async (): Promise<boolean> => {
		const {status} = await callHost(host.ready, {method: 'GET', path: '/readyz'});
		return status === 200;
	};

	t.false(await isReady());
	host.entry.evacuateHalls(new Set());
	const after = await callHost(host.callers);
	t.is(after.status, 200);
	t.true(await isReady());
});

test('where all endpoints are cold and others send there, callers are told at once when they are warm', async t => {
	const {host, clock, near, far} = await startHostAndEndpoints(t, {config: {services: new Map([['s', warmingService]])}});
	// The list of hosts is not known yet, so this host sends to no cold endpoint.
	const coldUntil = clock.now() + 2000;
	host.entry.listEndpoints([{...near.listed, coldUntil}, {...far.listed, coldUntil: coldUntil + 500}]);
	const {status, headers, body} = await callHost(host.callers);
	t.is(status, 503);
	t.is(Number(headers['retry-after']), 2);
	t.like(JSON.parse(body), {error: {code: 'endpoints_cold', ran: 'not_run'}});
	t.is(requestsSeenBy(near) + requestsSeenBy(far), 0);
});

test('a route and an organisation keep to their regions', async t => {
	const {host, near, far, sendRequests} = await startHostAndEndpoints(t, {config: {routes: [makeRoute({allowedRegions: ['north', 'south']})]}});
	host.entry.listEndpoints([{...near.listed, region: 'west'}, {...far.listed, region: 'south'}]);
	t.deepEqual(await sendRequests(), new Set([200]));
	t.deepEqual([requestsSeenBy(near), requestsSeenBy(far)], [0, requestCount]);
	host.entry.configure(makeConfig({
		version: 2,
		routes: [makeRoute({allowedRegions: ['north', 'south']})],
		organisationsByKey: new Map([['key', {
			name: 'org', limit: undefined, priority: undefined, allowedRegions: ['north'],
		}]]),
	}));
	t.deepEqual(await sendRequests(), new Set([503]));
	t.deepEqual([requestsSeenBy(near), requestsSeenBy(far)], [0, requestCount]);
});
