import test from 'ava';
import type {BudgetRights, HolderRights} from '@deckwheel/ledger';
import {rankHolders} from '../lib/lending/rank-holders.js';
import {emptyHostAccount} from '../lib/rights/empty-host-account.js';
import {isBudgetExhausted} from '../lib/rights/is-budget-exhausted.js';
import {planRetryAfter} from '../lib/rights/plan-retry-after.js';

const holder = (granted: number, settled: number): HolderRights => ({
	epoch: 0, granted, transferred: 0, rate: 0, settled, billed: settled,
});
const rights: BudgetRights = {
	organisation: 'org', limit: 1000, topUps: [], holders: {'a#1': holder(300, 250), 'b#1': holder(400, 100), 'c#1': holder(200, 190)},
};
/** The account of the host that asks, as in its entry. */
const account = {...emptyHostAccount, granted: 300, settled: 250};

test('a refusal is final only if a fresh record proves it, and what other hosts hold counts as left', t => {
	const inputs = {
		rights, ageMs: 0, isSkipped: false, holder: 'a#1', account, hasClients: false, tokens: 461,
	};
	t.true(isBudgetExhausted(inputs));
	t.false(isBudgetExhausted({...inputs, tokens: 460}));
	t.false(isBudgetExhausted({...inputs, ageMs: 60_000}));
	t.false(isBudgetExhausted({...inputs, rights: undefined}));
	// A pause kept the host from asking the store, which may have got rights since.
	t.true(isBudgetExhausted({...inputs, ageMs: 299, isSkipped: true}));
	t.false(isBudgetExhausted({...inputs, ageMs: 300, isSkipped: true}));
	t.true(isBudgetExhausted({...inputs, ageMs: 2499}));
});

// On a simulated day one organisation sent nearly three times its usual demand. Its budget was used up except for the reservations of its
// open requests. Its callers were told to retry after 2 s, 24 to 103 of them in two seconds, and were refused again.
test('what open requests have reserved for their worst case does not count as left', t => {
	const {holders} = rights;
	const busy = {...rights, holders: {...holders, 'b#1': {...holders['b#1']!, reserved: 290}}};
	const inputs = {
		rights: busy, ageMs: 0, isSkipped: false, holder: 'a#1', account, hasClients: false,
	};
	t.true(isBudgetExhausted({...inputs, tokens: 171}));
	t.false(isBudgetExhausted({...inputs, tokens: 170}));
});

test('holders with most left are asked first, and the asking host is left out', t => {
	t.deepEqual(rankHolders(rights, 'a#1'), ['b#1', 'c#1']);
});

test('callers are told to retry after as long as the store has been out of reach, within bounds', t => {
	t.deepEqual([0, 5000, 100_000].map(downMs => planRetryAfter(downMs)), [2, 5, 30]);
});
