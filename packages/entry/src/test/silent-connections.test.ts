/**
Guards against requests that wait until their deadlines, one after the other, on idle connections that went silent.

The idle connections to an endpoint carry no bytes any more, while new connections work. A request takes the connection that was used last
and gets no response until its deadline, which says nothing about the endpoint. If the missing response counts against its own connection
only, the next request takes the next silent connection, for as many requests as there were idle connections.

The second test is an incident with whole hosts, whose cause led to the first: a host asks the one that follows the store for its hall, over
a link that went silent.
*/
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {startRelay, type RunningRelay} from '@deckwheel/stand-ins';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {answerAtTogether, togetherPath} from './lib/answer-at-together.js';
import {callHost} from './lib/call-host.js';
import {headerNames} from './lib/header-names.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, startHost} from './lib/start-host.js';

/** Deadlines of requests, in ms: a short one for a request that waits on a silent connection, and one that is long enough on a slow host. */
const shortDeadline = {[headerNames.deadline]: '1500'};
const longDeadline = {[headerNames.deadline]: '20000'};

const relayTo = (relay: RunningRelay, address: string): string => {
	relay.aimAt(Number(address.split(':')[1]));
	return `127.0.0.1:${relay.port}`;
};

test('silent connections to an endpoint cost one request, however many connections were idle', async t => {
	const endpoint = await startEndpoint('e0', answerAtTogether(3));
	const [relay, host] = await Promise.all([startRelay(), startHost(createMemoryRightsStore())]);
	t.teardown(async () => {
		await Promise.all([relay.close(), host.entry.kill()]);
		endpoint.close();
	});
	host.entry.configure(makeConfig());
	host.entry.listEndpoints([{...endpoint.listed, address: relayTo(relay, endpoint.listed.address)}]);
	const responses = await Promise.all([1, 2, 3].map(async () => callHost(host.callers, {path: togetherPath, headers: longDeadline})));
	t.deepEqual(responses.map(({status}) => status), [200, 200, 200]);

	relay.silence();
	const first = await callHost(host.callers, {path: '/alone', headers: shortDeadline});
	t.is(first.status, 504);
	const second = await callHost(host.callers, {path: '/alone', headers: longDeadline});
	t.is(second.status, 200);
});

/** Five hosts make a large hall, in which one host follows the configuration in the store for all. */
const hostNames = ['edge-1', 'edge-2', 'edge-3', 'edge-4', 'edge-5'];

/** For how long the follower may hold a question before it replies, in ms: long enough that a slow host does not look like a silent link. */
const holdMs = 2000;

/** After this time, in ms, a host that got no reply with a change stops asking: links that stay silent fail the test then. */
const askTimeoutMs = 30_000;

test('after its links went silent, a host gets replies again from the one that follows the store for its hall, and uses no silent connection to an endpoint', async t => {
	const peers = new Map<string, ListedPeer>();
	const relays = new Map(await Promise.all(hostNames.map(async name => [name, await startRelay()] as const)));
	const seenAs = (peer: ListedPeer): ListedPeer => ({...peer, address: relayTo(relays.get(peer.holder.split('#')[0]!)!, peer.address)});
	const hosts = await Promise.all(hostNames.map(async host => startHost(createMemoryRightsStore(), {host, peers, seenAs})));
	const [endpoint, endpointRelay] = await Promise.all([startEndpoint('e0', (_req, res) => {
		res.end('fine');
	}), startRelay()]);
	t.teardown(async () => {
		await Promise.all([...relays.values(), endpointRelay].map(async relay => relay.close()));
		await Promise.all(hosts.map(async ({entry}) => entry.kill()));
		endpoint.close();
	});
	await Promise.all(hosts.map(async ({logged}) => logged('peers_listed', ({count}) => count === hostNames.length)));
	const asker = hosts.find(({entry}) => !entry.storeChanges.isFollower('config'))!;
	const isChangeReported = async (): Promise<boolean> => {
		const {type} = await asker.entry.storeChanges.waitForChange('config', 5, holdMs, 60_000);
		return type === 'changed';
	};

	// Behind relays each host has addresses of its own for the others, so which host the asker asks shows only by the reply.
	const isFollower = async ({entry}: (typeof hosts)[number]): Promise<boolean> => {
		entry.storeChanges.publish('config', {at: 9, changedAt: 6});
		const isAsked = await isChangeReported();
		entry.storeChanges.publish('config', undefined);
		return isAsked;
	};

	let follower = asker;
	for (const host of hosts) {
		follower = host !== asker && await isFollower(host) ? host : follower;
	}

	asker.entry.configure(makeConfig());
	asker.entry.listEndpoints([{...endpoint.listed, address: relayTo(endpointRelay, endpoint.listed.address)}]);
	follower.entry.storeChanges.publish('config', {at: 9, changedAt: 6});
	const isChangeReportedInTime = async (): Promise<boolean> => {
		for (const end = performance.now() + askTimeoutMs; performance.now() < end;) {
			if (await isChangeReported()) {
				return true;
			}

			// Without a peer to ask, a reply needs no input or output, and this loop would keep other tasks of the process from theirs.
			await nextTurn();
		}

		return false;
	};

	t.not(follower, asker);
	t.true(await isChangeReportedInTime());
	const before = await callHost(asker.callers, {headers: longDeadline});
	t.is(before.status, 200);
	for (const relay of [...relays.values(), endpointRelay]) {
		relay.silence();
	}

	t.true(await isChangeReportedInTime());
	const after = await callHost(asker.callers, {headers: longDeadline});
	t.is(after.status, 200);
});
