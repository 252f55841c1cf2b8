/**
Guards against overspending a budget after the store was restored from an older copy: rights that hosts had drawn after the copy was made
were drawn a second time.
*/
import {setImmediate as nextTurn} from 'node:timers/promises';
import test from 'ava';
import type {BudgetRights, RightsObject} from '@deckwheel/ledger';
import {createMemoryRightsStore, type MemoryRightsStore} from './lib/memory-rights-store.js';
import {startRightsManagers} from './lib/start-rights-managers.js';

const limit = 1000;
const soonMs = 60_000;

/** Longer than the pause of draws in which hosts let each other write again what they hold, in ms. */
const laterMs = 10_000;

type Scope = {teardown: (end: () => void) => void};

/** Starts three hosts, which all draw for themselves. */
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

/** Reserves 10 tokens at a time at each host until the host gets no more. Returns the tokens reserved in all. */
const spendAll = async ({keepers, reserve}: ReturnType<typeof launch>): Promise<number> => {
	let spent = 0;
	for (const index of [...keepers.keys()].toReversed()) {
		for (let got = await reserve(index, 10); got > 0; got = await reserve(index, 10)) {
			spent += got;
		}
	}

	return spent;
};

const holdersIn = (store: MemoryRightsStore): BudgetRights['holders'] =>
	[...store.objects.values()].find(({rights}) => rights.budgets.org)?.rights.budgets.org?.holders ?? {};

/** Resolves once all the given holders have written in the store's present era. */
const untilWrittenAgain = async (store: MemoryRightsStore, holders: readonly string[]): Promise<void> => {
	while (holders.some(holder => holdersIn(store)[holder]?.written?.era !== store.era())) {
		await nextTurn();
	}
};

/** Restores the store, lets hosts notice it, and waits until those that drew have written again. */
const restoreFor = async (store: MemoryRightsStore, copy: ReturnType<MemoryRightsStore['copy']>, keepers: ReturnType<typeof startRightsManagers>): Promise<void> => {
	const drew = keepers.map(({peer}) => peer.holder).filter(holder => (holdersIn(store)[holder]?.granted ?? 0) > 0);
	store.restore(copy);
	for (const {rights} of keepers) {
		rights.noteRestored();
	}

	await untilWrittenAgain(store, drew);
};

test('rights that a host drew and spent before the store was restored are not drawn again by another host', async t => {
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
	t.true(spent > limit * 0.9, `${spent} of ${limit} tokens: rights that no host spent are drawn again`);
});

test('the host that notices a restore first draws nothing until the others had time to write again what they hold', async t => {
	const {clock, store, keepers, reserve} = launch(t);
	const copy = store.copy();
	let spent = await reserve(0, 600);
	await restoreFor(store, copy, []);
	keepers[1]!.rights.noteRestored();
	const before = store.copy();
	spent += await reserve(1, 900);
	t.deepEqual(store.copy(), before, 'a request that waits for rights causes no write');
	clock.ms += 1000;
	keepers[0]!.rights.noteRestored();
	await untilWrittenAgain(store, [keepers[0]!.peer.holder]);
	clock.ms += laterMs;
	spent += await reserve(1, 900);
	t.is(spent, 600);
});

test('rights drawn by a host that crashed are not drawn again after a restore, if another host had read its entry', async t => {
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

test('rights that were given back before the store was restored are not charged', async t => {
	const {clock, store, keepers, reserve} = launch(t);
	await reserve(0, 600);
	const copy = store.copy();
	keepers[0]!.rights.settle('org', 600, 100);
	await keepers[0]!.rights.retire();
	await restoreFor(store, copy, keepers);
	clock.ms += laterMs;
	t.is(await reserve(1, 800), 800);
});

test('no tokens are charged twice when the store is restored five times in a row', async t => {
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
