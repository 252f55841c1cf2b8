import test from 'ava';
import type {BudgetRights} from '@deckwheel/ledger';
import {viewRights} from '../lib/rights-store/view-rights.js';

const entry = (granted: number, transferred: number, settled: number) => ({
	epoch: 0, granted, transferred, rate: 0, settled, billed: 0,
});

test('tokens that an allocator lent count as spent, and tokens that it holds do not', t => {
	const rights: BudgetRights = {
		organisation: 'b', limit: 1000, topUps: [], holders: {'edge-1#a': entry(400, -150, 50)},
	};
	// 600 tokens are unallocated in the store. The allocator was granted 400, lent 150 and spent 50, so it holds 200.
	t.is(viewRights(rights, 'edge-2#a', 0).remaining, 800);
});
