import test from 'ava';
import type {RetryWindow} from '../retries/retry-window.js';
import {stepRetryWindow} from '../retries/step-retry-window.js';

const bounds = {retryRatio: 0.2, retryWindowMs: 10_000};

/** Applies requests and wanted retries in order, and returns the times of the retries that were allowed, in ms. */
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

test('no sliding window holds more retries than the ratio allows for the requests of one window', t => {
	const steps = Array.from({length: 4000}, (_, index) => [
		{at: index * 20, event: 'request' as const}, {at: index * 20, event: 'repeat' as const},
	]).flat();
	const retryTimes = allowedRetryTimes(steps);
	t.true(retryTimes.length > 0);
	for (const start of retryTimes) {
		const inWindow = retryTimes.filter(at => at >= start && at < start + bounds.retryWindowMs).length;
		t.true(inWindow <= 100, `${inWindow} retries from ${start}`);
	}
});

test('a service without requests gets no retries', t => {
	t.deepEqual(allowedRetryTimes([{at: 0, event: 'repeat'}, {at: 50_000, event: 'repeat'}]), []);
});
