import test from 'ava';
import {planHorizon} from '../lib/rights/plan-horizon.js';

// When the store was back in reach after 12 s, each host drew at once what it holds in normal operation: 1.8 of the 2.4 million tokens that
// were left of all budgets were drawn in four seconds, and most of them were stranded when all hosts crashed 2.4 s after the store's return.
test('right after the store is back in reach, hosts hold little, and more as time passes', t => {
	t.deepEqual([0, 2000, 6000, 12_000, 60_000].map(now => planHorizon(0, now, 8)), [2, 3, 5, 8, 8]);
});

test('if the store was never out of reach, hosts hold as much as in normal operation', t => {
	t.is(planHorizon(Number.NEGATIVE_INFINITY, 0, 8), 8);
});
