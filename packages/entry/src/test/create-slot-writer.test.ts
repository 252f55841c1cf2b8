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
	const counted = {
		...store,
		async write(...arguments_: Parameters<typeof store.write>) {
			writes.push(arguments_[2]);
			return store.write(...arguments_);
		},
	};
	const writer = createSlotWriter({
		host,
		holder: `${host}#a`,
		store: counted,
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
		ageOf: () => writer.rightsAgeMs('org'),
	};
};

test('a cheap look before a write spares the conflict with what others wrote since', async t => {
	const one = start('edge-1');
	const other = start('edge-2', one.store);
	t.true(await one.flush());
	t.true(await other.flush());
	t.true(await one.flush());
	t.is(one.writes.length, 2);
	t.is(one.accounts.get('org').granted, 20);
});

test('a look that shows something older changes nothing', async t => {
	const one = start('edge-1');
	t.true(await one.flush());
	const [old] = [...one.store.objects.values()];
	t.true(await one.flush());
	const late = start('edge-1', {...one.store, peek: async () => old});
	t.true(await late.flush());
	t.true(await late.flush());
	t.deepEqual(late.writes, [2, 3]);
});
