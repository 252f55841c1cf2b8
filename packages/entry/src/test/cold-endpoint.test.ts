/**
An endpoint that turned cold gets requests of several whole hosts at once.

Order of events: all endpoints of a service are cold, as after a loss of power; every host has requests for them. Cause of what could
follow: each host knows what it sends itself, and none what the others send, so that what each may think little is too much together.
Evidence: with the rule taken out of `findExclusion`, all 60 requests of six hosts reach the endpoint, which falls over at the 15th.
*/
import test from 'ava';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {callHost} from './lib/call-host.js';
import {createHandClock} from './lib/create-hand-clock.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint, type Answer} from './lib/start-endpoint.js';
import {makeConfig, startHost} from './lib/start-host.js';

const hostCount = 6;
const requestsPerHost = 10;

/** What the endpoint bears within a second while it is cold. */
const maxRequestsPerSecond = 14;

/** More than the spacing of a host's requests at a cold endpoint, in ms. */
const beyondColdIntervalMs = 1500;

const coldService = {
	name: 's', maxConnections: 100, tokensPerEvent: 0, warmupMs: 30_000, warmupPerSecond: 6.6,
};

/** Falls over for good once it got more than it bears: all requests of the test come within a second. */
const createColdResponder = (): Answer => {
	let count = 0;
	return (_req, res) => {
		count++;
		res.writeHead(count > maxRequestsPerSecond ? 500 : 200);
		res.end('fine');
	};
};

test('a cold endpoint gets from all hosts together what it bears, and the rest is refused at once', async t => {
	const peers = new Map<string, ListedPeer>();
	const clock = createHandClock();
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
	t.is(endpoint.seen.length, 4, 'one of each of the hosts that send there');
	for (const {body} of refused) {
		t.like(JSON.parse(body), {error: {code: 'endpoints_cold', ran: 'not_run'}});
	}
});
