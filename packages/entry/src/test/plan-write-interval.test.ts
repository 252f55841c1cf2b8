import test from 'ava';
import {planWriteInterval} from '../lib/stream-origins/stored/plan-write-interval.js';

/** The longest that callers wait for a write, in ms. */
const longestMs = 400;

test('origins take more than a quarter of the writes of the store where callers could wait', t => {
	for (const hosts of [1, 7, 82, 3000]) {
		for (const writesPerSecond of [1, 40, 400]) {
			const interval = planWriteInterval(hosts, writesPerSecond);
			t.true(interval === longestMs || (hosts * 1000) / interval <= writesPerSecond * 0.25);
		}
	}
});

test('a host writes more often than every 100 ms, or less often than its share or the wait of callers allows', t => {
	t.is(planWriteInterval(1, 400), 100);
	t.is(planWriteInterval(10, 400), 100);
	t.is(planWriteInterval(20, 400), 200);
	t.is(planWriteInterval(40, 400), longestMs);
	t.is(planWriteInterval(41, 400), longestMs);
	t.is(planWriteInterval(3000, 400), longestMs);
});
