import test from 'ava';
import type {RetryWindow} from '../retries/retry-window.js';
import {stepRetryWindow} from '../retries/step-retry-window.js';

const bounds = {retryRatio: 0.2, retryWindowMs: 10_000};

/** Plays requests and attempts at repeats, at even times, and tells the times of the repeats that were allowed. */
const allowedRetryTimes = (steps: ReadonlyArray<{at: number; event: 'request' | 'repeat'}>): readonly number[] => {
	let window: RetryWindow | undefined;
	const retryTimes: number[] = [];
	for (const {at, event} of steps) {
		const step = stepRetryWindow(window, event, bounds, at);
		window = step.window;
		if (event === 'repeat' && step.isAllowed) {
			retryTimes.push(at);
		}
	}

	return retryTimes;
};

test('no sliding window holds more repeats than the ratio of its requests, or those of the window before it', t => {
	const steps = Array.from({length: 4000}, (_, index) => [
		{at: index * 20, event: 'request' as const}, {at: index * 20, event: 'repeat' as const},
	]).flat();
	const retryTimes = allowedRetryTimes(steps);
	t.true(retryTimes.length > 0);
	for (const start of retryTimes) {
		const inWindow = retryTimes.filter(at => at >= start && at < start + bounds.retryWindowMs).length;
		t.true(inWindow <= 100, `${inWindow} repeats from ${start}`);
	}
});

test('a service without requests gets no repeats', t => {
	t.deepEqual(allowedRetryTimes([{at: 0, event: 'repeat'}, {at: 50_000, event: 'repeat'}]), []);
});
