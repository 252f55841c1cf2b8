/**
Guards against requests to endpoints of an evacuated hall, and against a rush of requests to its cold endpoints after the evacuation.

It comes about when hosts do not read the operators' orders from the store, or when the choice of an endpoint ignores orders, warm-ups
or regions: 99 requests from all hosts reached an evacuated hall before the order was withdrawn, and then all hosts used its cold
endpoints again at once. Without the rule in `findExclusion`, 20 of 20 requests go to the evacuated hall, which is the nearer one.
*/
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {callHost} from './lib/call-host.js';
import {createManualClock} from './lib/create-manual-clock.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint, type Answer, type TestEndpoint} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

const requestCount = 20;

/** More than the minimum interval between two requests of a host to a cold endpoint, in ms. */
const beyondColdIntervalMs = 5000;

const respondOk: Answer = (_req, res) => {
	res.end('fine');
};

const warmingService = {
	name: 's', maxConnections: 100, tokensPerEvent: 0, warmupMs: 3000, warmupPerSecond: 6.6,
};

type TestScope = {teardown: (end: () => Promise<void>) => void};
type ConfigChanges = Parameters<typeof makeConfig>[0];

const startHostAndEndpoints = async (t: TestScope, {near = respondOk, far = respondOk, config = {}}: {near?: Answer; far?: Answer; config?: ConfigChanges} = {}) => {
	const clock = createManualClock();
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

test('an evacuated hall gets no request until the order is withdrawn', async t => {
	const {host, near, far, sendRequests} = await startHostAndEndpoints(t);
	host.entry.evacuateHalls(new Set(['hall-a']));
	t.deepEqual(await sendRequests(), new Set([200]));
	t.deepEqual([requestsSeenBy(near), requestsSeenBy(far)], [0, requestCount]);
	host.entry.evacuateHalls(new Set());
	await sendRequests();
	t.deepEqual([requestsSeenBy(near), requestsSeenBy(far)], [requestCount, requestCount]);
});

test('a request in flight in a hall is not cut off when the hall is evacuated', async t => {
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

test('when all halls are evacuated, requests are refused at once with `endpoints_evacuated` and a Retry-After', async t => {
	const {host, near, far} = await startHostAndEndpoints(t);
	host.entry.evacuateHalls(new Set(['hall-a', 'hall-b']));
	const {status, headers, body} = await callHost(host.callers);
	t.is(status, 503);
	t.true(Number(headers['retry-after']) > 0);
	t.like(JSON.parse(body), {error: {code: 'endpoints_evacuated', ran: 'not_run'}});
	t.is(requestsSeenBy(near) + requestsSeenBy(far), 0);
});

test('an order to evacuate an unknown hall changes nothing', async t => {
	const {host, near, sendRequests} = await startHostAndEndpoints(t);
	host.entry.evacuateHalls(new Set(['hall-z']));
	t.deepEqual(await sendRequests(), new Set([200]));
	t.is(requestsSeenBy(near), requestCount);
});

test('endpoints of a reopened hall count as cold for the duration of their warm-up', async t => {
	const {host, clock, near, far, sendRequests} = await startHostAndEndpoints(t, {config: {services: new Map([['s', warmingService]])}});
	host.entry.evacuateHalls(new Set(['hall-a']));
	clock.advance(beyondColdIntervalMs);
	host.entry.evacuateHalls(new Set());
	t.deepEqual(await sendRequests(), new Set([200]));
	t.deepEqual([requestsSeenBy(near), requestsSeenBy(far)], [0, requestCount]);
	clock.advance(warmingService.warmupMs);
	await sendRequests();
	t.is(requestsSeenBy(near), requestCount, 'the near endpoint counts as warm again');
});

test('a host that can get evacuation orders is not ready and forwards no request before it knows them', async t => {
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

test('when this host may send to none of the cold endpoints, requests are refused at once with a Retry-After until the first is warm', async t => {
	const {host, clock, near, far} = await startHostAndEndpoints(t, {config: {services: new Map([['s', warmingService]])}});
	// This host does not know the list of hosts yet, so it sends to no cold endpoint.
	const coldUntil = clock.now() + 2000;
	host.entry.listEndpoints([{...near.listed, coldUntil}, {...far.listed, coldUntil: coldUntil + 500}]);
	const {status, headers, body} = await callHost(host.callers);
	t.is(status, 503);
	t.is(Number(headers['retry-after']), 2);
	t.like(JSON.parse(body), {error: {code: 'endpoints_cold', ran: 'not_run'}});
	t.is(requestsSeenBy(near) + requestsSeenBy(far), 0);
});

test('requests go only to regions that both their route and their organisation allow', async t => {
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
