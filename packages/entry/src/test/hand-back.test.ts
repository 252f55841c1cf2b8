/**
Users would have seen an organisation served 2,154 tokens beyond the 13,382,920 that it had paid for, on a day with 79 hosts
that stopped in turn while connections fell silent.

Order of events: hosts of a large hall hand idle rights back to their allocator, and tell the total that they ever gave it.
The allocator stops as planned, gives everything back to the store, and starts again at the same address under a new name.
Hosts that have not read the list of hosts since tell the new life the total that they gave to the earlier one, and it
credits itself with all of it: 1,085,336 tokens, of which 36,816 had just been handed back, and 1,250,595 in all.

Cause: the message did not say for which life of a host it is. Evidence: the `rights_handed_back` and `rights_taken_back`
lines of that budget, paired by hosts.
*/
import test from 'ava';
import {available} from '@deckwheel/ledger';
import {createBorrower} from '../lib/lending/create-borrower.js';
import {createPeerRequestHandler} from '../lib/peers/create-peer-request-handler.js';
import {createAccounts} from '../lib/rights/create-accounts.js';

const budget = 'org';
const earlierLife = {holder: 'edge-1#a', address: '10.0.0.1:1', hall: 'h'};
const asker = {incarnation: 'edge-2#a', hall: 'h'};

const startAnswerer = () => {
	const taken: number[] = [];
	const answer = createPeerRequestHandler({
		holder: 'edge-1#b',
		log: () => undefined,
		lend: async () => ({total: 0, reachesStore: true}),
		answerChanges: async () => ({at: 0, changedAt: 0, ageMs: 0}),
		answerSuspicions: () => ({suspicions: []}),
		answerPermit() {
			throw new Error('not asked');
		},
		answerLimits: () => ({limits: []}),
		takeBack(_from, _budget, total) {
			taken.push(total);
		},
	});
	return {answer, taken};
};

test('rights handed back to an earlier life of a host are not credited to the next one', async t => {
	const {answer, taken} = startAnswerer();
	t.deepEqual(await answer(asker, {
		type: 'hand_back', to: earlierLife.holder, budget, total: 1_085_336,
	}), {isTaken: false});
	t.deepEqual(taken, []);
	t.deepEqual(await answer(asker, {
		type: 'hand_back', to: 'edge-1#b', budget, total: 500,
	}), {isTaken: true});
	t.deepEqual(taken, [500]);
});

test('what an ended life can no longer take stays with the host that handed it back', async t => {
	const accounts = createAccounts();
	accounts.apply(budget, {type: 'granted', total: 10_000});
	const borrower = createBorrower({
		accounts,
		loanClient: {
			borrow: async () => true,
			handBack: async () => 'refused',
		},
		allocatorsOf: () => [earlierLife],
		log: () => undefined,
		now: () => 0,
	});
	await borrower.handBackIdle(budget);
	t.is(available(accounts.get(budget)), 10_000);
});
