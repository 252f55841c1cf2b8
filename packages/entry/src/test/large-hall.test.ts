import test from 'ava';
import {slotOfBudget} from '@deckwheel/ledger';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {rankAllocators} from '../lib/lending/rank-allocators.js';
import {mostUrgentRank} from '../lib/lending/most-urgent-rank.js';
import {slotCount} from '../lib/rights-store/slot-count.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';
import {startHost} from './lib/start-host.js';
import {startRightsManagers} from './lib/start-rights-managers.js';

const hallSize = 6;
const limit = 100_000;
const deadline = 1000;

const startHall = (t: {teardown: (end: () => void) => void}) => {
	const store = createMemoryRightsStore();
	const keepers = startRightsManagers(hallSize, store, limit);
	t.teardown(() => {
		for (const {kill} of keepers) {
			kill();
		}
	});
	const ranked = rankAllocators(slotOfBudget('org', slotCount), keepers.map(({peer}) => peer), hallSize);
	const allocators = ranked.map(allocator => keepers.find(({peer}) => peer === allocator)!);
	const clients = keepers.filter(keeper => !allocators.includes(keeper));
	const granted = (): number => Object.values([...store.objects.values()][0]!.rights.budgets.org!.holders).reduce((sum, holder) => sum + holder.granted, 0);
	return {
		store, keepers, allocators, clients, granted,
	};
};

test('in a large hall the hosts borrow from the first allocator, which draws', async t => {
	const {keepers, allocators, clients, granted} = startHall(t);
	for (const {rights} of keepers) {
		t.is(await rights.reserve('org', 1000, deadline), 'reserved');
	}

	t.true(clients.every(({events}) => events.includes('rights_borrowed') && !events.includes('rights_drawn')));
	t.true(allocators[0]!.events.includes('rights_drawn'));
	t.true(granted() <= limit);
});

test('when the first allocator of a hall crashes, its standby takes over', async t => {
	const {allocators, clients} = startHall(t);
	t.is(await clients[0]!.rights.reserve('org', 1000, deadline), 'reserved');
	allocators[0]!.kill();
	for (const {rights} of clients) {
		t.is(await rights.reserve('org', 5000, deadline), 'reserved');
	}

	t.true(allocators[1]!.events.includes('rights_lent'));
	// The client that becomes the new standby may draw.
	t.true(clients.filter(({events}) => events.includes('rights_drawn')).length <= 1);
});

test('when both allocators of a hall crash, its hosts draw for themselves, and never beyond the limit', async t => {
	const {allocators, clients, granted} = startHall(t);
	for (const {kill} of allocators) {
		kill();
	}

	const outcomes = [];
	for (let i = 0; i < 30; i++) {
		outcomes.push(await clients[i % clients.length]!.rights.reserve('org', 5000, deadline));
	}

	t.true(outcomes.includes('reserved'));
	t.true(outcomes.filter(outcome => outcome === 'reserved').length * 5000 <= limit);
	t.true(granted() <= limit);
});

test('one host of a hall follows a topic of store changes, and the others learn of changes from it', async t => {
	const peers = new Map<string, ListedPeer>();
	const hosts = await Promise.all(Array.from({length: hallSize}, async (_, index) => startHost(createMemoryRightsStore(), {host: `edge-${index}`, peers})));
	t.teardown(async () => {
		await Promise.all(hosts.map(async ({entry}) => entry.kill()));
	});
	await Promise.all(hosts.map(async ({logged}) => logged('peers_listed', ({count}) => count === hallSize)));
	const followers = hosts.filter(({entry}) => entry.storeChanges.isFollower('config'));
	t.is(followers.length, 1);
	const [follower] = followers;
	const otherChanges = hosts.find(host => host !== follower)!.entry.storeChanges;
	// A peer may hold its reply for this many ms. The time is long, so that the peer does not look silent when the test runs on a slow computer.
	const holdMs = 5000;
	t.deepEqual(await otherChanges.waitForChange('config', 5, holdMs, 60_000), {type: 'unknown'});
	follower!.entry.storeChanges.publish('config', {at: 9, changedAt: 4});
	const reply = otherChanges.waitForChange('config', 5, holdMs, 60_000);
	follower!.entry.storeChanges.publish('config', {at: 12, changedAt: 12});
	t.deepEqual(await reply, {type: 'changed'});
});

// In a hall whose hosts borrow, each host sees only a few requests of a budget. Only the allocator sees how urgent the requests of all hosts are.
test('near the end of a budget, the allocator keeps what is left for more urgent requests of its whole hall', async t => {
	const {clients} = startHall(t);
	const [first, second, third] = clients.map(({rights}) => rights);
	t.is(await first!.reserve('org', 10_000, deadline, 0), 'reserved');
	t.is(await third!.reserve('org', 10_000, deadline, 0), 'reserved');
	t.is(await second!.reserve('org', 12_000, deadline, 1), 'unavailable', 'a large, less urgent request at a host that saw no urgent one itself');
	t.is(await third!.reserve('org', 2000, deadline, 1), 'reserved', 'a small, less urgent request');
	t.is(await second!.reserve('org', 6000, deadline, 0), 'reserved');
	t.is(await second!.reserve('org', 12_000, deadline), 'reserved', 'a further run of a request, from which no rights are kept for others');
});

test('a loan that is requested for several requests is as urgent as the most urgent of them', t => {
	const need = (priority: number | undefined, tokens: number) => ({
		budget: 'org', tokens, priority, source: 'allocators' as const, peers: [],
	});
	t.deepEqual(mostUrgentRank([need(2, 100), need(0, 300), need(1, 200)]), {priority: 0, tokens: 300});
	t.is(mostUrgentRank([need(2, 100), need(undefined, 300)]), undefined);
	t.is(mostUrgentRank([]), undefined);
});
