import test from 'ava';
import {planHorizon} from '../lib/rights/plan-horizon.js';

// When a store came back after 12 s, each host drew what it holds in quiet times at once: 1.8 of the 2.4 million tokens that were
// left of all budgets went out in four seconds, and most of them were lost with all hosts 2.4 s after the return.
test('right after the store is back hosts hold little, and more as time passes', t => {
	t.deepEqual([0, 2000, 6000, 12_000, 60_000].map(now => planHorizon(0, now, 8)), [2, 3, 5, 8, 8]);
});

test('where the store was never away, hosts hold what they hold in quiet times', t => {
	t.is(planHorizon(Number.NEGATIVE_INFINITY, 0, 8), 8);
});
