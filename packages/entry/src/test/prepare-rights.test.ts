import test from 'ava';
import {unallocated, viewStore, type HolderRights} from '@deckwheel/ledger';
import {emptyHostAccount} from '../lib/rights/empty-host-account.js';
import {planSlotWrite} from '../lib/rights-store/plan-slot-write.js';
import {prepareRights} from '../lib/rights-store/prepare-rights.js';

const entry = (granted: number, settled: number, transferred = 0): HolderRights => ({
	epoch: 0, granted, transferred, rate: 0, settled, billed: settled,
});
const rights = (holders: Readonly<Record<string, HolderRights>>, limit = 1000, limitVersion = 1) => ({
	budgets: {
		b: {
			organisation: 'b', limit, limitVersion, topUps: [], holders,
		},
	},
});
const inputs = {
	host: 'edge-1', holder: 'edge-1#2', limits: new Map([['b', 1000]]), version: 1,
};

test('what an ended incarnation of this host held stays charged', t => {
	const {b} = prepareRights(rights({'edge-1#1': entry(300, 100)}), inputs).budgets;
	t.is(unallocated(b!), 700);
	t.deepEqual(Object.keys(b!.holders), ['retired']);
});

test('rights of an ended incarnation do not count as remaining', t => {
	const {b} = prepareRights(rights({'edge-1#1': entry(300, 100)}), inputs).budgets;
	t.is(viewStore(b!, 'edge-1#2', 0).remaining, 700);
});

test('entries of other hosts stay as they are, even if their name begins with this host\'s name', t => {
	const {b} = prepareRights(rights({'edge-11#1': entry(300, 100), 'edge-2#1': entry(200, 0)}), inputs).budgets;
	t.deepEqual(Object.keys(b!.holders), ['edge-11#1', 'edge-2#1']);
});

test('folding ended incarnations a second time changes nothing', t => {
	const once = prepareRights(rights({'edge-1#0': entry(100, 100), 'edge-1#1': entry(300, 100, -50), 'edge-2#1': entry(200, 0, 50)}), inputs);
	const twice = prepareRights(once, inputs);
	t.deepEqual(twice, once);
	t.is(unallocated(twice.budgets.b!), 400);
});

test('an older configuration does not reset the limit', t => {
	const {b} = prepareRights(rights({}, 500, 7), {...inputs, version: 6}).budgets;
	t.is(b!.limit, 500);
});

test('a newer configuration sets the limit', t => {
	const {b} = prepareRights(rights({}, 500, 7), {...inputs, version: 8}).budgets;
	t.is(b!.limit, 1000);
	t.is(b!.limitVersion, 8);
});

test('a budget that cannot be read is not created anew, and nothing is drawn from it', t => {
	const stored = {budgets: {}, unreadable: {b: null}};
	t.deepEqual(prepareRights(stored, inputs), stored);
	const plan = planSlotWrite({
		...inputs, rights: stored, accountOf: () => emptyHostAccount, isEntryNeeded: () => true, drawAmountOf: () => () => 100,
	});
	t.is(plan.type, 'write');
	if (plan.type === 'write') {
		t.deepEqual(plan.rights, stored);
		t.deepEqual(plan.grants, []);
	}
});
