import test from 'ava';
import type {DrawRequest} from '../store/draw-request.js';
import {planDraw} from '../store/plan-draw.js';
import type {RightsObject} from '../store/rights-object.js';
import {topUp} from '../store/top-up.js';
import {unallocated} from '../store/unallocated.js';

const rights = (holders: RightsObject['budgets'][string]['holders'] = {}): RightsObject => ({
	budgets: {
		b: {
			organisation: 'o', limit: 100, topUps: [], holders,
		},
	},
});

const holder = (granted: number, changes = {}) => ({
	epoch: 2, granted, transferred: 0, rate: 0, settled: 0, billed: 0, ...changes,
});

const draw = (changes: Partial<DrawRequest> = {}): DrawRequest => ({
	budget: 'b', granted: 0, transferred: 0, rate: 0, settled: 0, billed: 0, wants: () => 30, ...changes,
});

test('a draw never exceeds what the store has left', t => {
	const plan = planDraw(rights({'y#1': holder(80)}), 'x#1', 2, [draw()]);
	t.like(plan, {type: 'write', grants: [{budget: 'b', granted: 20}]});
});

test('a host whose pair was replaced does not write to the store', t => {
	t.deepEqual(planDraw(rights({'x#1': holder(50, {epoch: 3})}), 'x#1', 2, [draw()]), {type: 'deposed'});
});

test('a draw that took effect without a confirmation is withdrawn by the next write', t => {
	// The store records a grant of 50 tokens to this holder, but both hosts of its pair hold a grant of 20.
	const plan = planDraw(rights({'x#1': holder(50)}), 'x#1', 2, [draw({granted: 20, wants: () => 0})]);
	t.like(plan, {type: 'write', grants: [{granted: 20}]});
});

test('rights that one holder received from another are not counted twice', t => {
	const holders = {'x#1': holder(60, {transferred: -60}), 'y#1': holder(0, {transferred: 60, settled: 55})};
	t.is(unallocated(rights(holders).budgets.b!), 40);
});

test('tokens that endpoints served beyond a holder\'s rights reduce what the store has left', t => {
	t.is(unallocated(rights({'x#1': holder(60, {settled: 75})}).budgets.b!), 25);
});

test('a budget that the store does not have is reported as unknown, not as empty', t => {
	t.like(planDraw(rights(), 'x#1', 2, [draw({budget: 'other'})]), {type: 'write', unknown: ['other']});
});

test('a repeated top-up changes nothing', t => {
	const once = topUp(rights().budgets.b!, 'invoice-1', 50);
	t.is(once.limit, 150);
	t.is(topUp(once, 'invoice-1', 50).limit, 150);
	t.is(topUp(once, 'invoice-2', 50).limit, 200);
});
