import test from 'ava';
import fc from 'fast-check';
import {isAheadOfPace} from '../lib/budget-pacing/is-ahead-of-pace.js';
import type {Pace} from '../lib/budget-pacing/pace.js';
import {planSpreadSeconds} from '../lib/budget-pacing/plan-spread-seconds.js';
import {stepPace} from '../lib/budget-pacing/step-pace.js';

test('the time that a budget has to last falls to 0 within 20 s of a host\'s start', t => {
	t.deepEqual([0, 5000, 20_000, 60_000].map(age => planSpreadSeconds(1000, 1000 + age)), [20, 15, 0, 0]);
});

test('a request that is large for the pace is refused until the whole allowance is saved up, and then served', t => {
	const inputs = {uncommitted: 20_000, spreadSeconds: 20, demandShare: 0.5};
	const first = stepPace(undefined, {...inputs, now: 0});
	t.false(isAheadOfPace(first, 700));
	t.true(isAheadOfPace(first, 9000));
	const saved = stepPace(first, {...inputs, now: 3000});
	t.false(isAheadOfPace(saved, 9000));
	const overdrawn = {...saved, allowance: saved.allowance - 9000};
	t.true(isAheadOfPace(stepPace(overdrawn, {...inputs, now: 6000}), 700), 'the large request overdrew the allowance');
});

test('the pace refuses no request of a budget with nothing left: such a budget is exhausted', t => {
	t.false(isAheadOfPace(stepPace(undefined, {
		uncommitted: -500, spreadSeconds: 20, demandShare: 1, now: 0,
	}), 100));
});

// For any requests at any times, what is served stays within the pace. The part that is still left falls with the square of the time that
// remains; beyond that, only the saved-up allowance and one more request may be spent.
const anyRequests = fc.array(fc.record({afterMs: fc.integer({min: 1, max: 2000}), tokens: fc.integer({min: 1, max: 12_000})}), {minLength: 5, maxLength: 200});

test('no more is served than the pace allows and one more request, whatever the requests', t => {
	fc.assert(fc.property(anyRequests, fc.integer({min: 10_000, max: 500_000}), (requests, prepaid) => {
		let now = 0;
		let left = prepaid;
		let pace: Pace | undefined;
		for (const {afterMs, tokens} of requests) {
			now += afterMs;
			const spreadSeconds = planSpreadSeconds(0, now);
			if (spreadSeconds <= 1) {
				return;
			}

			pace = stepPace(pace, {
				uncommitted: left, spreadSeconds, demandShare: 1, now,
			});
			if (!isAheadOfPace(pace, tokens) && tokens <= left) {
				pace = {...pace, allowance: pace.allowance - tokens};
				left -= tokens;
				const spent = prepaid - left;
				const saved = prepaid * 2 * 3 / 20;
				const allowedByPace = (prepaid * (1 - ((1 - (now / 20_000)) ** 2))) + saved;
				t.true(spent <= allowedByPace + tokens + 1);
			}
		}
	}), {numRuns: 200, seed: 38});
});
