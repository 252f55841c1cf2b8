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

test('a pair whose hosts both serve is not replaced', t => {
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

test('a backup without the ledger does not succeed a primary that is gone', t => {
	const isGone = (host: string) => host === 'a~1';
	t.is(planPair(0, pair, view({isGone, live: ['b~1', 'c~1'], isSynced: () => false})), undefined);
});

test('a primary that shuts down hands over only when its backup holds every entry', t => {
	const stoppingPrimary = {self: 'a~1', isStopping: true, live: ['b~1', 'c~1']};
	t.is(planPair(0, pair, view({...stoppingPrimary, isHandoverReady: () => false})), undefined);
	t.like(planPair(0, pair, view(stoppingPrimary)), {epoch: 4, primary: 'b~1', backup: 'c~1'});
});

test('a new generation begins only when both hosts are believed lost', t => {
	const otherHost = {self: 'c~1', live: ['c~1']};
	t.is(planPair(0, pair, view({...otherHost, isGone: () => true})), undefined);
	t.is(planPair(0, pair, view({...otherHost, isLost: host => host === 'a~1'})), undefined);
	t.deepEqual(planPair(0, pair, view({...otherHost, isLost: () => true})), {
		epoch: 4, generation: 2, primary: 'c~1', backup: undefined,
	});
});
