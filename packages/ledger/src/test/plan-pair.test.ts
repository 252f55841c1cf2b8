import test from 'ava';
import type {PairView} from '../replica/pair-view.js';
import {planPair} from '../replica/plan-pair.js';

const pair = {
	epoch: 3, generation: 1, primary: 'a~1', backup: 'b~1',
};

const view = (changes: Partial<PairView>): PairView => ({
	self: 'b~1',
	isStopping: false,
	live: ['a~1', 'b~1', 'c~1'],
	isGone: () => false,
	isLost: () => false,
	isSynced: () => true,
	isHandoverReady: () => true,
	...changes,
});

test('a pair that serves is left alone', t => {
	t.is(planPair(0, pair, view({})), undefined);
	t.is(planPair(0, pair, view({self: 'a~1'})), undefined);
	t.is(planPair(0, pair, view({self: 'c~1'})), undefined);
});

test('a synced backup succeeds a primary that is gone', t => {
	const isGone = (host: string) => host === 'a~1';
	t.deepEqual(planPair(0, pair, view({isGone, live: ['b~1', 'c~1']})), {
		epoch: 4, generation: 1, primary: 'b~1', backup: 'c~1',
	});
});

test('a backup without the ledger does not succeed', t => {
	const isGone = (host: string) => host === 'a~1';
	t.is(planPair(0, pair, view({isGone, live: ['b~1', 'c~1'], isSynced: () => false})), undefined);
});

test('a leaving primary hands over only when its backup holds everything', t => {
	const leaving = {self: 'a~1', isStopping: true, live: ['b~1', 'c~1']};
	t.is(planPair(0, pair, view({...leaving, isHandoverReady: () => false})), undefined);
	t.like(planPair(0, pair, view(leaving)), {epoch: 4, primary: 'b~1', backup: 'c~1'});
});

test('a new generation begins only when both hosts are believed lost', t => {
	const third = {self: 'c~1', live: ['c~1']};
	t.is(planPair(0, pair, view({...third, isGone: () => true})), undefined);
	t.is(planPair(0, pair, view({...third, isLost: host => host === 'a~1'})), undefined);
	t.deepEqual(planPair(0, pair, view({...third, isLost: () => true})), {
		epoch: 4, generation: 2, primary: 'c~1', backup: undefined,
	});
});
