import test from 'ava';
import type {HoldingPolicy} from '@deckwheel/ledger';
import {emptyHostAccount} from '../lib/rights/empty-host-account.js';
import {planRights} from '../lib/rights/plan-rights.js';

const holdingPolicy: HoldingPolicy = () => 10_000;
const store = {
	unallocated: 1_000_000, remaining: 1_000_000, demandShare: 0.5, fleetTokensPerSecond: 1e6,
};
const base = {
	store, holders: 2, holdingPolicy, isOverGranted: false, isAllocator: true, isStoreUp: true,
};
const holding = (tokens: number) => ({...emptyHostAccount, granted: tokens});

test('a host draws when it has little of its target left, and not before', t => {
	t.is(planRights({...base, account: holding(3000)}).type, 'draw');
	t.is(planRights({...base, account: holding(9000)}).type, 'keep');
});

test('a host does not draw from a store that has nothing left', t => {
	t.is(planRights({...base, store: {...store, unallocated: 0}, account: holding(0)}).type, 'keep');
});

test('a host returns what is far above its target', t => {
	t.deepEqual(planRights({...base, account: holding(40_000)}), {type: 'give_back', tokens: 30_000});
});

test('a host keeps its rights while the store is out of reach', t => {
	t.is(planRights({...base, isStoreUp: false, account: holding(40_000)}).type, 'keep');
});

test('a host returns all unspent rights when the limit fell below what the store has granted', t => {
	t.deepEqual(planRights({...base, isOverGranted: true, account: {...holding(9000), reserved: 2000, settled: 1000}}), {type: 'give_back', tokens: 6000});
});

test('a host that is no allocator draws nothing ahead, and returns what it drew and does not need', t => {
	t.is(planRights({...base, isAllocator: false, account: holding(3000)}).type, 'keep');
	t.deepEqual(planRights({...base, isAllocator: false, account: holding(40_000)}), {type: 'give_back', tokens: 30_000});
});
