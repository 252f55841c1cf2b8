import test from 'ava';
import {slotOfBudget} from '@deckwheel/ledger';
import type {ListedPeer} from '../adapter/listed-peer.js';
import {rankAllocators} from '../lib/lending/rank-allocators.js';
import {rankOfNeeds} from '../lib/lending/rank-of-needs.js';
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

test('in a large hall the hosts borrow from one that draws', async t => {
	const {keepers, allocators, clients, granted} = startHall(t);
	for (const {rights} of keepers) {
		t.is(await rights.reserve('org', 1000, deadline), 'reserved');
	}

	t.true(clients.every(({events}) => events.includes('rights_borrowed') && !events.includes('rights_drawn')));
	t.true(allocators[0]!.events.includes('rights_drawn'));
	t.true(granted() <= limit);
});

test('when the one that draws is gone, the one that stands by takes over', async t => {
	const {allocators, clients} = startHall(t);
	t.is(await clients[0]!.rights.reserve('org', 1000, deadline), 'reserved');
	allocators[0]!.kill();
	for (const {rights} of clients) {
		t.is(await rights.reserve('org', 5000, deadline), 'reserved');
	}

	t.true(allocators[1]!.events.includes('rights_lent'));
	// The one that now stands by in its place may draw.
	t.true(clients.filter(({events}) => events.includes('rights_drawn')).length <= 1);
});

test('when both are gone, hosts draw for themselves, and never beyond the limit', async t => {
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

test('one host follows a topic for the hall, and the others hear from it', async t => {
	const peers = new Map<string, ListedPeer>();
	const hosts = await Promise.all(Array.from({length: hallSize}, async (_, index) => startHost(createMemoryRightsStore(), {host: `edge-${index}`, peers})));
	t.teardown(async () => {
		await Promise.all(hosts.map(async ({entry}) => entry.kill()));
	});
	await Promise.all(hosts.map(async ({logged}) => logged('peers_listed', ({count}) => count === hallSize)));
	const followers = hosts.filter(({entry}) => entry.storeChanges.isFollower('config'));
	t.is(followers.length, 1);
	const [follower] = followers;
	const asker = hosts.find(host => host !== follower)!.entry.storeChanges;
	// A reply may be held for this long, so a slow machine does not make a peer look silent.
	const holdMs = 5000;
	t.deepEqual(await asker.waitForChange('config', 5, holdMs, 60_000), {type: 'unknown'});
	follower!.entry.storeChanges.publish('config', {at: 9, changedAt: 4});
	const held = asker.waitForChange('config', 5, holdMs, 60_000);
	follower!.entry.storeChanges.publish('config', {at: 12, changedAt: 12});
	t.deepEqual(await held, {type: 'changed'});
});

// In a hall whose hosts borrow, each of them sees a few requests of a budget, and only who draws sees how urgent the others are.
test('near the end of a budget, who draws keeps what is left for more urgent requests of all its hall', async t => {
	const {clients} = startHall(t);
	const [first, second, third] = clients.map(({rights}) => rights);
	t.is(await first!.reserve('org', 10_000, deadline, 0), 'reserved');
	t.is(await third!.reserve('org', 10_000, deadline, 0), 'reserved');
	t.is(await second!.reserve('org', 12_000, deadline, 1), 'unavailable', 'a large one of a host that saw nothing urgent itself');
	t.is(await third!.reserve('org', 2000, deadline, 1), 'reserved', 'a small one takes its turn');
	t.is(await second!.reserve('org', 6000, deadline, 0), 'reserved');
	t.is(await second!.reserve('org', 12_000, deadline), 'reserved', 'a further run of a request is never refused for others');
});

test('a question that is asked for several requests counts as the most urgent of them', t => {
	const need = (priority: number | undefined, tokens: number) => ({
		budget: 'org', tokens, priority, source: 'allocators' as const, peers: [],
	});
	t.deepEqual(rankOfNeeds([need(2, 100), need(0, 300), need(1, 200)]), {priority: 0, tokens: 300});
	t.is(rankOfNeeds([need(2, 100), need(undefined, 300)]), undefined);
	t.is(rankOfNeeds([]), undefined);
});
