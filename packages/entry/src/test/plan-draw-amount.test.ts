import test from 'ava';
import type {HolderRights} from '@deckwheel/ledger';
import {emptyHostAccount} from '../lib/rights/empty-host-account.js';
import {planDrawAmount} from '../lib/rights/plan-draw-amount.js';

const holder = 'edge-1#1';
const recorded = (settled: number): HolderRights => ({
	epoch: 0, granted: 600, transferred: 0, rate: 0, settled, billed: settled,
});

// The first write after an outage of 15 s drew 448 of the 690 tokens that the store had, and the host returned 170 of them 0.2 s later:
// what it had spent since its last write had counted as left.
test('a draw counts what the host has spent since its last write as spent', t => {
	const wanted = (settledInRecord: number): number => planDrawAmount({
		account: {...emptyHostAccount, granted: 600, settled: 600},
		available: 0,
		missing: 0,
		view: {
			unallocated: 400, remaining: 1000 - settledInRecord, fleetTokensPerSecond: 1, demandShare: 1,
		},
		rights: {
			organisation: 'org', limit: 1000, topUps: [], holders: {[holder]: recorded(settledInRecord)},
		},
		holder,
		// Holds half of what remains.
		holdingPolicy: ({remaining}) => remaining / 2,
		isAllocator: true,
		isDrawPaused: false,
	});
	t.is(wanted(600), 200);
	t.is(wanted(0), 200);
});

// A host that is no allocator hands back what it has beyond 3 s of its demand. Drawing for longer, it moved most of a budget to its allocator.
test('a host that is no allocator draws no more than it keeps', t => {
	const drawnBy = (isAllocator: boolean, missing: number): number => planDrawAmount({
		account: {...emptyHostAccount, rate: 1000, observedSeconds: 60},
		available: 0,
		missing,
		view: {
			unallocated: 1_000_000, remaining: 1_000_000, fleetTokensPerSecond: 1000, demandShare: 1,
		},
		rights: {
			organisation: 'org', limit: 1_000_000, topUps: [], holders: {},
		},
		holder,
		holdingPolicy: ({tokensPerSecond}) => tokensPerSecond * 8,
		isAllocator,
		isDrawPaused: false,
	});
	t.is(drawnBy(true, 1000), 8001);
	t.is(drawnBy(false, 1000), 3001);
	t.is(drawnBy(false, 5000), 5000, 'its demand is not steady: it draws for the request that waits');
});
