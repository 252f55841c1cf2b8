/**
Guards against a cold endpoint that is overloaded by several hosts at once.

It comes about when all endpoints of a service are cold, as after a loss of power, and every host has requests for them. Each host knows only
its own requests, so a number that is small for one host is too much from all of them. Without the rule for cold endpoints in
`findExclusion`, all 60 requests of six hosts reach the endpoint, which fails from the 15th on.
*/
import test from 'ava';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {callHost} from './lib/call-host.js';
import {createManualClock} from './lib/create-manual-clock.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint, type Answer} from './lib/start-endpoint.js';
import {makeConfig, startHost} from './lib/start-host.js';

const hostCount = 6;
const requestsPerHost = 10;

/** The number of requests that the endpoint can take within a second while it is cold. */
const maxRequestsPerSecond = 14;

/** More than the minimum interval between two requests of a host to a cold endpoint, in ms. */
const beyondColdIntervalMs = 1500;

const coldService = {
	name: 's', maxConnections: 100, tokensPerEvent: 0, warmupMs: 30_000, warmupPerSecond: 6.6,
};

/** Creates the handler of an endpoint that fails for good once it got more requests than it can take. All requests of the test come within a second. */
const createColdResponder = (): Answer => {
	let count = 0;
	return (_req, res) => {
		count++;
		res.writeHead(count > maxRequestsPerSecond ? 500 : 200);
		res.end('fine');
	};
};

test('a cold endpoint gets no more requests from all hosts together than it can take, and the others are refused at once', async t => {
	const peers = new Map<string, ListedPeer>();
	const clock = createManualClock();
	const endpoint = await startEndpoint('cold', createColdResponder());
	const store = createMemoryRightsStore();
	const hosts = await Promise.all(Array.from({length: hostCount}, async (_, index) => startHost(store, {
		host: `edge-${index}`, peers, now: clock.now, schedule: clock.schedule, warmup: {overage: 1.5, slack: 5},
	})));
	t.teardown(async () => {
		await Promise.all(hosts.map(async ({entry}) => entry.kill()));
		endpoint.close();
	});
	await Promise.all(hosts.map(async ({logged, events}) => logged('peers_listed', ({count}) =>
		count === hostCount && events.filter(({event}) => event === 'peers_listed').length > 1)));
	const coldUntil = clock.now() + coldService.warmupMs;
	for (const {entry} of hosts) {
		entry.configure(makeConfig({services: new Map([['s', coldService]])}));
		entry.listEndpoints([{...endpoint.listed, coldUntil}]);
	}

	clock.advance(beyondColdIntervalMs);
	const responses = await Promise.all(hosts.flatMap(({callers}) => Array.from({length: requestsPerHost}, async () => callHost(callers))));
	const served = responses.filter(({status}) => status === 200);
	const refused = responses.filter(({status}) => status === 503);
	t.is(served.length, 4);
	t.is(refused.length, responses.length - served.length);
	t.is(endpoint.seen.length, 4, 'one request of each host that may send to the cold endpoint');
	for (const {body} of refused) {
		t.like(JSON.parse(body), {error: {code: 'endpoints_cold', ran: 'not_run'}});
	}
});
