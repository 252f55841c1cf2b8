/** Guards against a process that gives up its settings while their file is written, or that waits for ever for settings that stay invalid. */
import test from 'ava';
import {fail, succeed} from '@deckwheel/core';
import {awaitSettings} from '../await-settings.js';

const invalid = fail([{path: '(document)', message: 'cannot be read as JSON'}]);

/** A clock that only waiting advances. */
const createClock = () => {
	let ms = 0;
	return {
		now: () => ms,
		async wait(forMs: number) {
			ms += forMs;
		},
	};
};

test('settings that are valid at a later read are given up, or the first issues are told more than once', async t => {
	let reads = 0;
	let told = 0;
	const settings = await awaitSettings(() => ++reads < 10 ? invalid : succeed('settings'), {
		...createClock(),
		onUnread() {
			told++;
		},
	});
	t.deepEqual([settings, reads, told], [succeed('settings'), 10, 1]);
});

test('settings that stay invalid are awaited for ever', async t => {
	const clock = createClock();
	t.deepEqual(await awaitSettings(() => invalid, clock), invalid);
	t.true(clock.now() >= 1000);
});

test('a process that stood still past the deadline does not look at its settings again', async t => {
	let ms = 0;
	let reads = 0;
	const settings = await awaitSettings(() => ++reads < 2 ? invalid : succeed('settings'), {
		now: () => ms,
		async wait() {
			ms += 3_600_000;
		},
	});
	t.deepEqual(settings, succeed('settings'));
});
