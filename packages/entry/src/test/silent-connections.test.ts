/**
What a caller would see, found by looking for the cause of an incident with links between hosts elsewhere (not seen in a
played day so far): after the connections to an endpoint went silent, one request after the other waits until its deadline,
as many as there were connections kept.

Order of events: kept connections carry nothing any more, new ones work. A request takes the one that was used last and gets
no answer; it ends at its deadline, which says nothing of its endpoint; the next request takes the next connection.

Cause: a missing answer was held against its own connection only. Evidence: the first test, before the mend.

The second test is the incident itself with whole hosts: questions to the follower of a hall over a link that went silent.
*/
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import {answerTogether, startRelay, type RunningRelay} from '@deckwheel/stand-ins';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {callHost} from './lib/call-host.js';
import {headerNames} from './lib/header-names.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startEndpoint} from './lib/start-endpoint.js';
import {makeConfig, startHost} from './lib/start-host.js';

/** Time limits of requests, in ms: one that ends on the silent connection, and one that a slow machine keeps. */
const shortDeadline = {[headerNames.deadline]: '1500'};
const longDeadline = {[headerNames.deadline]: '20000'};

const relayTo = (relay: RunningRelay, address: string): string => {
	relay.aimAt(Number(address.split(':')[1]));
	return `127.0.0.1:${relay.port}`;
};

test('one silent connection to an endpoint costs one request, however many were kept', async t => {
	const hold = answerTogether(3);
	const endpoint = await startEndpoint('e0', (req, res) => {
		const answer = (): void => {
			res.end('fine');
		};

		if (req.url === '/together') {
			hold(answer);
		} else {
			answer();
		}
	});
	const [relay, host] = await Promise.all([startRelay(), startHost(createMemoryRightsStore())]);
	t.teardown(async () => {
		await Promise.all([relay.close(), host.entry.kill()]);
		endpoint.close();
	});
	host.entry.configure(makeConfig());
	host.entry.listEndpoints([{...endpoint.listed, address: relayTo(relay, endpoint.listed.address)}]);
	const together = await Promise.all([1, 2, 3].map(async () => callHost(host.callers, {path: '/together', headers: longDeadline})));
	t.deepEqual(together.map(({status}) => status), [200, 200, 200]);

	relay.silence();
	const first = await callHost(host.callers, {path: '/alone', headers: shortDeadline});
	t.is(first.status, 504);
	const second = await callHost(host.callers, {path: '/alone', headers: longDeadline});
	t.is(second.status, 200);
});

/** Five hosts are a large hall: one follows the configuration for all. */
const hostNames = ['edge-1', 'edge-2', 'edge-3', 'edge-4', 'edge-5'];

/** How long a question may be held, in ms: a slow machine must not look like a silent link. */
const holdMs = 2000;

/** For how long questions are asked, in ms: an end for links that stay silent. */
const askForMs = 30_000;

test('a host hears again from the one that follows the store for its hall, and uses no connection that went silent with the link', async t => {
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
	const isTold = async (): Promise<boolean> => {
		const {type} = await asker.entry.storeChanges.waitForChange('config', 5, holdMs, 60_000);
		return type === 'changed';
	};

	// Behind relays each host has addresses of its own for the others; so the one that is asked shows by its answer.
	const tells = async ({entry}: (typeof hosts)[number]): Promise<boolean> => {
		entry.storeChanges.publish('config', {at: 9, changedAt: 6});
		const isAsked = await isTold();
		entry.storeChanges.publish('config', undefined);
		return isAsked;
	};

	let follower = asker;
	for (const host of hosts) {
		follower = host !== asker && await tells(host) ? host : follower;
	}

	asker.entry.configure(makeConfig());
	asker.entry.listEndpoints([{...endpoint.listed, address: relayTo(endpointRelay, endpoint.listed.address)}]);
	follower.entry.storeChanges.publish('config', {at: 9, changedAt: 6});
	const isEverTold = async (): Promise<boolean> => {
		for (const end = performance.now() + askForMs; performance.now() < end;) {
			if (await isTold()) {
				return true;
			}

			// Without a peer to ask the answer needs no input or output, and this loop would keep others from theirs.
			await nextTurn();
		}

		return false;
	};

	t.not(follower, asker);
	t.true(await isEverTold());
	const before = await callHost(asker.callers, {headers: longDeadline});
	t.is(before.status, 200);
	for (const relay of [...relays.values(), endpointRelay]) {
		relay.silence();
	}

	t.true(await isEverTold());
	const after = await callHost(asker.callers, {headers: longDeadline});
	t.is(after.status, 200);
});
