import test from 'ava';
import type {BudgetRights} from '@deckwheel/ledger';
import {viewRights} from '../lib/rights-store/view-rights.js';

const entry = (granted: number, transferred: number, settled: number) => ({
	epoch: 0, granted, transferred, rate: 0, settled, billed: 0,
});

test('what an allocator lent counts as spent, and what it holds does not', t => {
	const rights: BudgetRights = {
		organisation: 'b', limit: 1000, topUps: [], holders: {'edge-1#a': entry(400, -150, 50)},
	};
	// 600 in the store, and 200 of 400 with the allocator.
	t.is(viewRights(rights, 'edge-2#a', 0).remaining, 800);
});
