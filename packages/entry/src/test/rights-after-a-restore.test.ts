/** After the store came back from an older copy, rights that were drawn in between were drawn once more, and the budget was overspent. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import type {BudgetRights, RightsObject} from '@deckwheel/ledger';
import {createMemoryRightsStore, type MemoryRightsStore} from './lib/memory-rights-store.js';
import {startRightsManagers} from './lib/start-rights-managers.js';

const limit = 1000;
const soonMs = 60_000;

/** Longer than hosts leave each other to write again what they hold, in ms. */
const laterMs = 10_000;

type Scope = {teardown: (end: () => void) => void};

/** Three hosts, which all draw for themselves. */
const launch = (t: Scope) => {
	const clock = {ms: 0};
	const store = createMemoryRightsStore();
	const keepers = startRightsManagers(3, store, limit, () => clock.ms);
	t.teardown(() => {
		for (const {rights} of keepers) {
			rights.close();
		}
	});
	const reserve = async (index: number, tokens: number): Promise<number> =>
		await keepers[index]!.rights.reserve('org', tokens, clock.ms + soonMs) === 'reserved' ? tokens : 0;
	return {
		clock, store, keepers, reserve,
	};
};

/** Spends all that hosts get, in small requests; tells how much that was. */
const spendAll = async ({keepers, reserve}: ReturnType<typeof launch>): Promise<number> => {
	let spent = 0;
	for (const index of [...keepers.keys()].toReversed()) {
		for (let got = await reserve(index, 10); got > 0; got = await reserve(index, 10)) {
			spent += got;
		}
	}

	return spent;
};

const holdersOf = (store: MemoryRightsStore): BudgetRights['holders'] =>
	[...store.objects.values()].find(({rights}) => rights.budgets.org)?.rights.budgets.org?.holders ?? {};

/** Resolves once holders have written in the store's era. */
const writtenAgain = async (store: MemoryRightsStore, holders: readonly string[]): Promise<void> => {
	while (holders.some(holder => holdersOf(store)[holder]?.written?.era !== store.era())) {
		await nextTurn();
	}
};

/** Restores the store, lets hosts notice it, and waits until those that drew have written again. */
const restoreFor = async (store: MemoryRightsStore, copy: ReturnType<MemoryRightsStore['copy']>, keepers: ReturnType<typeof startRightsManagers>): Promise<void> => {
	const drew = keepers.map(({peer}) => peer.holder).filter(holder => (holdersOf(store)[holder]?.granted ?? 0) > 0);
	store.restore(copy);
	for (const {rights} of keepers) {
		rights.noteRestored();
	}

	await writtenAgain(store, drew);
};

test('what a host drew and spent before the store was restored is not drawn again by another', async t => {
	const world = launch(t);
	const {clock, store, keepers, reserve} = world;
	const copy = store.copy();
	let spent = await reserve(0, 600);
	t.is(spent, 600);
	await restoreFor(store, copy, keepers);
	spent += await spendAll(world);
	clock.ms += laterMs;
	spent += await spendAll(world);
	t.true(spent <= limit, `${spent} of ${limit} tokens`);
	t.true(spent > limit * 0.9, `${spent} of ${limit} tokens: what nobody spent is drawn again`);
});

test('a host that notices the restore first leaves the others time to write again what they hold', async t => {
	const {clock, store, keepers, reserve} = launch(t);
	const copy = store.copy();
	let spent = await reserve(0, 600);
	await restoreFor(store, copy, []);
	keepers[1]!.rights.noteRestored();
	const before = store.copy();
	spent += await reserve(1, 900);
	t.deepEqual(store.copy(), before, 'a request that waits for rights costs no write');
	clock.ms += 1000;
	keepers[0]!.rights.noteRestored();
	await writtenAgain(store, [keepers[0]!.peer.holder]);
	clock.ms += laterMs;
	spent += await reserve(1, 900);
	t.is(spent, 600);
});

test('what a host drew that died is known by those who read it before the store was restored', async t => {
	const world = launch(t);
	const {clock, store, keepers, reserve} = world;
	const copy = store.copy();
	let spent = await reserve(0, 600);
	spent += await reserve(1, 10);
	keepers[0]!.kill();
	await restoreFor(store, copy, keepers.slice(1));
	clock.ms += laterMs;
	for (const index of [1, 2]) {
		for (let got = await reserve(index, 10); got > 0; got = await reserve(index, 10)) {
			spent += got;
		}
	}

	t.true(spent <= limit, `${spent} of ${limit} tokens`);
});

test('what was given back before the store was restored is not charged', async t => {
	const {clock, store, keepers, reserve} = launch(t);
	await reserve(0, 600);
	const copy = store.copy();
	keepers[0]!.rights.settle('org', 600, 100);
	await keepers[0]!.rights.retire();
	await restoreFor(store, copy, keepers);
	clock.ms += laterMs;
	t.is(await reserve(1, 800), 800);
});

test('nothing is charged twice, restored again and again', async t => {
	const {clock, store, keepers, reserve} = launch(t);
	let spent = 0;
	for (let i = 0; i < 5; i++) {
		const copy = store.copy();
		spent += await reserve(i % 3, 40);
		keepers[i % 3]!.rights.settle('org', 40, 40);
		await restoreFor(store, copy, keepers);
		clock.ms += laterMs;
	}

	t.is(spent, 200);
	t.is(await reserve(0, 700), 700);
	const billed = (rights: RightsObject): number => Object.values(rights.budgets.org!.holders).reduce((sum, holder) => sum + holder.billed, 0);
	const total = [...store.objects.values()].filter(({rights}) => rights.budgets.org).reduce((sum, {rights}) => sum + billed(rights), 0);
	t.is(total, 200);
});
