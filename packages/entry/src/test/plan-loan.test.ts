import test from 'ava';
import {planLoan} from '../lib/lending/plan-loan.js';

test('what is asked is lent', t => {
	t.is(planLoan({asked: 100, given: 40, received: 40}), 100);
});

test('questions that come late and together are not lent for each', t => {
	let given = 0;
	for (const asked of [9000, 56_000, 17_000, 23_000]) {
		given += planLoan({asked, given, received: 0});
	}

	t.is(given, 56_000);
});

test('an asker that knows of more, from an earlier life of the lender, is lent what it asks', t => {
	t.is(planLoan({asked: 100, given: 0, received: 700}), 100);
});
