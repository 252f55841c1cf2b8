/** Guards against a host that refuses its callers because its own links to endpoints are cut, while its peers reach them. */
import test, {type ExecutionContext} from 'ava';
import {startRelay} from '@deckwheel/stand-ins';
import type {ListedEndpoint} from '../adapter/listed-endpoint.js';
import type {ListedPeer} from '../adapter/listed-peer.js';
import type {Route} from '../config/route.js';
import {answerAtTogether, togetherPath} from './lib/answer-at-together.js';
import {callHost} from './lib/call-host.js';
import {closedAddress} from './lib/closed-address.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint, type Answer} from './lib/start-endpoint.js';
import {makeConfig, makeRoute, startHost} from './lib/start-host.js';

type HostPlan = {readonly host: string; readonly hall: string; /** Whether endpoints refuse its connections. */ readonly isCut: boolean};

type Fleet = {
	/** How endpoints respond; their id by default. */
	readonly answer?: Answer;
	readonly route?: Partial<Route>;
	/** Maps an endpoint to the entry that the first host gets. */
	readonly seenByFirst?: (endpoint: ListedEndpoint) => ListedEndpoint;
};

/** Starts hosts that know each other, and two endpoints in hall-a that only those reach that are not cut. */
const startFleet = async (t: ExecutionContext, plans: readonly HostPlan[], {answer, route, seenByFirst = endpoint => endpoint}: Fleet = {}) => {
	const peers = new Map<string, ListedPeer>();
	const hosts = await Promise.all(plans.map(async ({host, hall}) => startHost(createMemoryRightsStore(), {host, hall, peers})));
	const endpoints = await Promise.all(['e0', 'e1'].map(async id => startEndpoint(id, answer ?? ((_req, res) => {
		res.end(id);
	}))));
	const listed = endpoints.map(endpoint => endpoint.listed);
	const unreachable = await Promise.all(listed.map(async endpoint => ({...endpoint, address: await closedAddress()})));
	for (const [index, {entry}] of hosts.entries()) {
		const reached = index === 0 ? listed.map(endpoint => seenByFirst(endpoint)) : listed;
		entry.configure(makeConfig({routes: [makeRoute(route)]}));
		entry.listEndpoints(plans[index]!.isCut ? unreachable : reached);
	}

	await Promise.all(hosts.map(async ({logged}) => logged('peers_listed', ({count}) => count === plans.length)));
	t.teardown(async () => {
		await Promise.all(hosts.map(async ({entry}) => entry.kill()));
		for (const endpoint of endpoints) {
			endpoint.close();
		}
	});
	return {
		hosts,
		callers: hosts[0]!.callers,
		seen: () => endpoints.flatMap(({seen}) => seen),
		/** Makes endpoints refuse new connections of the first host; open ones stay as they are. */
		cutFirst() {
			hosts[0]!.entry.listEndpoints(unreachable);
		},
		restoreFirst() {
			hosts[0]!.entry.listEndpoints(listed.map(endpoint => seenByFirst(endpoint)));
		},
	};
};

const cutHost: HostPlan = {host: 'edge-1', hall: 'hall-a', isCut: true};
const peer: HostPlan = {host: 'edge-2', hall: 'hall-a', isCut: false};

/** Responses that wait until the test lets them go, and a promise of the first that came. */
const createHeldAnswers = () => {
	const held: Array<() => void> = [];
	let resolveFirst: () => void;
	const first = new Promise<void>(resolve => {
		resolveFirst = resolve;
	});
	const answer: Answer = (_req, res) => {
		held.push(() => {
			res.end('late');
		});
		resolveFirst();
	};

	return {
		answer,
		first,
		release() {
			for (const respond of held) {
				respond();
			}
		},
	};
};

test('a host that all endpoints refuse serves its callers through a peer that reaches them', async t => {
	const fleet = await startFleet(t, [
		cutHost,
		peer,
	]);
	const responses = await Promise.all([1, 2, 3, 4].map(async () => callHost(fleet.callers)));
	t.deepEqual(responses.map(({status}) => status), [200, 200, 200, 200]);
	t.is(fleet.seen().length, 4);
});

test('where all hosts of a hall are cut from endpoints, they are reached through another hall', async t => {
	const fleet = await startFleet(t, [
		cutHost,
		{host: 'edge-2', hall: 'hall-a', isCut: true},
		{host: 'edge-3', hall: 'hall-b', isCut: false},
	]);
	const {status} = await callHost(fleet.callers);
	t.is(status, 200);
	t.is(fleet.seen().length, 1);
});

test('where no host reaches an endpoint, a request is refused as not run', async t => {
	const fleet = await startFleet(t, [
		cutHost,
		{host: 'edge-2', hall: 'hall-a', isCut: true},
	]);
	const {status} = await callHost(fleet.callers);
	t.is(status, 503);
	t.is(fleet.seen().length, 0);
});

test('a stream goes through a peer whole, and its caller that leaves ends it at the endpoint', async t => {
	const caller = new AbortController();
	let hasClosed: () => void;
	const closed = new Promise<void>(resolve => {
		hasClosed = resolve;
	});
	const fleet = await startFleet(t, [cutHost, peer], {
		route: {kind: 'stream'},
		answer(req, res) {
			res.writeHead(200, {'content-type': 'text/event-stream'});
			res.write('id: 1\ndata: one\n\n');
			if (req.url === '/left') {
				req.socket.once('close', hasClosed);
				caller.abort();
			} else {
				res.end('id: 2\ndata: two\n\n');
			}
		},
	});
	const whole = await callHost(fleet.callers, {path: '/whole'});
	t.true(whole.isWhole);
	t.is(whole.body, 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n');
	const left = await callHost(fleet.callers, {path: '/left', signal: caller.signal});
	t.false(left.isWhole);
	await closed;
});

test('a peer that stops lets a request finish that goes through it, and takes no other', async t => {
	const {answer, first, release} = createHeldAnswers();
	const fleet = await startFleet(t, [cutHost, peer], {answer, route: {kind: 'once'}});
	const request = callHost(fleet.callers);
	await first;
	const stopped = fleet.hosts[1]!.entry.stop();
	const refused = await callHost(fleet.callers);
	t.is(refused.status, 503);
	t.is(fleet.seen().length, 1);
	release();
	const {status, body} = await request;
	t.is(status, 200);
	t.is(body, 'late');
	await stopped;
});

test('guards against a false "not run": a request that may run once is lost with the peer that it went through', async t => {
	const {answer, first} = createHeldAnswers();
	const fleet = await startFleet(t, [cutHost, peer], {answer, route: {kind: 'once'}});
	const request = callHost(fleet.callers);
	await first;
	await fleet.hosts[1]!.entry.kill();
	const {status} = await request;
	t.is(status, 502);
	t.is(fleet.seen().length, 1);
});

test('a request that may run again goes through another peer when the one it went through dies', async t => {
	const {answer, first} = createHeldAnswers();
	let count = 0;
	const fleet = await startFleet(t, [cutHost, peer, {host: 'edge-3', hall: 'hall-b', isCut: false}], {
		answer(req, res) {
			if (count++ === 0) {
				answer(req, res);
			} else {
				res.end('second');
			}
		},
	});
	const request = callHost(fleet.callers);
	await first;
	await fleet.hosts[1]!.entry.kill();
	const {status, body} = await request;
	t.is(status, 200);
	t.is(body, 'second');
});

test('once its links are back, a host uses them again, and nothing goes through peers any more', async t => {
	const fleet = await startFleet(t, [{...cutHost, isCut: false}, peer]);
	fleet.cutFirst();
	const cut = await callHost(fleet.callers);
	t.is(cut.status, 200);
	await fleet.hosts[0]!.logged('path_lost');
	fleet.restoreFirst();
	await fleet.hosts[0]!.logged('path_regained', ({lost}) => lost === 0);
	await fleet.hosts[1]!.entry.kill();
	const after = await callHost(fleet.callers);
	t.is(after.status, 200);
});

/** Puts a relay before each endpoint, as the link of one host to it. */
const startLinks = async (t: ExecutionContext) => {
	const relays = new Map(await Promise.all(['e0', 'e1'].map(async id => [id, await startRelay()] as const)));
	let closed: Promise<unknown> | undefined;
	const close = async (): Promise<void> => {
		closed ??= Promise.all([...relays.values()].map(async relay => relay.close()));
		await closed;
	};

	t.teardown(close);
	return {
		relays: [...relays.values()],
		/** Resets all connections, and refuses new ones. */
		close,
		through(endpoint: ListedEndpoint): ListedEndpoint {
			const relay = relays.get(endpoint.id)!;
			relay.aimAt(Number(endpoint.address.split(':')[1]));
			return {...endpoint, address: `127.0.0.1:${relay.port}`};
		},
	};
};

test('guards against a cut host that reports endpoints as ended: connections are refused right after a run broke off, and peers reach the endpoint', async t => {
	const {answer, first} = createHeldAnswers();
	const links = await startLinks(t);
	const fleet = await startFleet(t, [{...cutHost, isCut: false}, peer], {answer, route: {kind: 'once'}, seenByFirst: links.through});
	const request = callHost(fleet.callers);
	await first;
	await links.close();
	const {status} = await request;
	t.is(status, 502);
	const host = fleet.hosts[0]!;
	await host.logged('run_lost');
	t.deepEqual(host.events.filter(({event}) => event === 'run_lost').map(({fields}) => fields.endpoint_ended), [false]);
	t.false(host.events.some(({event}) => event === 'endpoint_ended'));
});

test('guards against requests that wait on connections that a cut silenced: they are left for the way through a peer', async t => {
	const links = await startLinks(t);
	const fleet = await startFleet(t, [{...cutHost, isCut: false}, peer], {
		answer: answerAtTogether(2),
		seenByFirst: links.through,
	});
	const warm = await Promise.all([1, 2].map(async () => callHost(fleet.callers, {path: togetherPath})));
	t.deepEqual(warm.map(({status}) => status), [200, 200]);
	for (const relay of links.relays) {
		relay.silence();
	}

	fleet.cutFirst();
	const {status} = await callHost(fleet.callers);
	t.is(status, 200);
	t.true(fleet.hosts[0]!.events.some(({event}) => event === 'path_silent'));
});
