import test from 'ava';
import {createAccounts} from '../lib/rights/create-accounts.js';
import {createSlotWriter} from '../lib/rights-store/create-slot-writer.js';
import {createStoreState} from '../lib/rights-store/create-store-state.js';
import {createMemoryRightsStore} from './lib/memory-rights-store.js';

const start = (host: string, store = createMemoryRightsStore()) => {
	let time = 0;
	const writes: number[] = [];
	const accounts = createAccounts();
	const now = (): number => time;
	const countingStore = {
		...store,
		async write(...arguments_: Parameters<typeof store.write>) {
			writes.push(arguments_[2]);
			return store.write(...arguments_);
		},
	};
	const writer = createSlotWriter({
		host,
		holder: `${host}#a`,
		store: countingStore,
		state: createStoreState(() => undefined, now),
		accounts,
		limits: () => ({version: 1, byBudget: new Map([['org', 1000]])}),
		isEntryNeeded: () => true,
		drawAmountOf: () => () => 10,
		onRestored: () => undefined,
		log: () => undefined,
		now,
	});
	const slot = writer.slotOf('org');
	return {
		store, writes, accounts,
		async flush() {
			time += 10_000;
			return writer.flush(slot);
		},
		rightsAgeMs: () => writer.rightsAgeMs('org'),
	};
};

test('a peek before a write avoids a conflict with what another host has written since', async t => {
	const first = start('edge-1');
	const other = start('edge-2', first.store);
	t.true(await first.flush());
	t.true(await other.flush());
	t.true(await first.flush());
	t.is(first.writes.length, 2);
	t.is(first.accounts.get('org').granted, 20);
});

test('a peek that shows an older revision does not replace the newer one', async t => {
	const first = start('edge-1');
	t.true(await first.flush());
	const [old] = [...first.store.objects.values()];
	t.true(await first.flush());
	const stale = start('edge-1', {...first.store, peek: async () => old});
	t.true(await stale.flush());
	t.true(await stale.flush());
	t.deepEqual(stale.writes, [2, 3]);
});
