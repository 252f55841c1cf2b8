import test from 'ava';
import {planLoan} from '../lib/lending/plan-loan.js';

test('a peer that knows of all earlier loans is lent what it asks for', t => {
	t.is(planLoan({asked: 100, given: 40, received: 40}), 100);
});

test('loan requests of one peer that arrive late and together are not each granted in full', t => {
	let given = 0;
	for (const asked of [9000, 56_000, 17_000, 23_000]) {
		given += planLoan({asked, given, received: 0});
	}

	t.is(given, 56_000);
});

test('a peer that received more from an earlier incarnation of the lender is lent what it asks for', t => {
	t.is(planLoan({asked: 100, given: 0, received: 700}), 100);
});
