import test from 'ava';
import type {BudgetRights, HolderRights} from '@deckwheel/ledger';
import {createShortageLog} from '../lib/rights-store/create-shortage-log.js';
import {findStrandedRights} from '../lib/rights-store/find-stranded-rights.js';
import {prepareRights} from '../lib/rights-store/prepare-rights.js';
import {summariseBudget} from '../lib/rights-store/summarise-budget.js';

const entry = (granted: number, settled: number, reserved: number): HolderRights => ({
	epoch: 0, granted, transferred: 0, rate: 0, settled, billed: settled, reserved,
});
const rights: BudgetRights = {
	organisation: 'org', limit: 1000, topUps: [], holders: {'a#1': entry(300, 100, 50), 'b#1': entry(200, 200, 0)},
};
const options = {
	host: 'a', holder: 'a#2', limits: new Map([['org', 1000]]), version: 1,
};

test('the amounts in the summary of a budget add up to its limit, before and after an incarnation of a host has ended', t => {
	t.deepEqual(summariseBudget(rights), {
		limit: 1000, unallocated: 500, charged: 300, open: 50, held: 150, stranded: 0, lent: 0,
	});
	t.deepEqual(summariseBudget(prepareRights({budgets: {org: rights}}, options).budgets.org!), {
		limit: 1000, unallocated: 500, charged: 300, open: 0, held: 0, stranded: 200, lent: 0,
	});
});

// Of budgets that were used up, two thirds were in none of the sums, which looked like rights that had been lost.
test('what hosts that write no entry were lent is in the summary', t => {
	const lender: HolderRights = {...entry(300, 100, 50), transferred: -120};
	const recordedBorrower: HolderRights = {...entry(200, 200, 0), transferred: 20};
	t.deepEqual(summariseBudget({...rights, holders: {'a#1': lender, 'b#1': recordedBorrower}}), {
		limit: 1000, unallocated: 500, charged: 300, open: 50, held: 50, stranded: 0, lent: 100,
	});
});

test('the stranded rights of an ended incarnation are reported once, when its entry is folded', t => {
	const before = {budgets: {org: rights}};
	const after = prepareRights(before, options);
	t.deepEqual(findStrandedRights(before, after), [{
		budget: 'org', holder: 'a#1', open: 50, held: 150,
	}]);
	t.deepEqual(findStrandedRights(after, prepareRights(after, options)), []);
});

test('a budget on which requests keep being refused is logged once in two seconds', t => {
	let time = 0;
	const lines: unknown[] = [];
	const log = createShortageLog({
		rightsOf: budget => budget === 'org' ? rights : undefined,
		rightsAgeMs: () => 12.4,
		log(event, fields) {
			lines.push([event, fields]);
		},
		now: () => time,
	});
	for (time of [0, 100, 1999, 2000]) {
		log.note('org', 'exhausted');
		log.note('unknown', 'exhausted');
	}

	t.is(lines.length, 2);
	t.deepEqual(lines[0], ['budget_short', {
		budget: 'org', refused: 'exhausted', limit: 1000, unallocated: 500, charged: 300, open: 50, held: 150, stranded: 0, lent: 0, age_ms: 12,
	}]);
});
