import test from 'ava';
import {msPerEvent} from '../load/ms-per-event.js';
import type {PaceWindow} from '../load/pace-window.js';
import {relativePaces} from '../load/relative-paces.js';
import {stepPaceWindow} from '../load/step-pace-window.js';
import {typicalMs} from '../load/typical-ms.js';

/** Samples at regular times. `msAt` returns the sample of a time. */
const sampleEvery = (intervalMs: number, untilMs: number, msAt: (now: number) => number): PaceWindow => {
	let window: PaceWindow | undefined;
	for (let now = 0; now < untilMs; now += intervalMs) {
		window = stepPaceWindow(window, msAt(now), now);
	}

	return window!;
};

test('the time per event needs four events that did not arrive at once', t => {
	t.is(msPerEvent({firstAt: 100, lastAt: 130, events: 4}), 10);
	t.is(msPerEvent({firstAt: 100, lastAt: 130, events: 3}), undefined);
	t.is(msPerEvent({firstAt: 100, lastAt: 100, events: 9}), undefined);
});

test('endpoints of 0.7, 0.7 and 1.7 of the usual time are told apart within 15 %', t => {
	const speeds = [0.7, 0.7, 1.7];
	// The time per event varies by up to 30 % from stream to stream, as with the number of streams that run beside it.
	const windows = speeds.map((speed, index) => sampleEvery(150, 10_000, now => 6 * speed * (1 + (0.3 * Math.sin((now * 0.37) + index)))));
	const paces = relativePaces(windows.map((window, endpoint) => ({endpoint, group: 'model', ms: typicalMs(window, 10_000)!})));
	for (const [one, speed] of speeds.entries()) {
		for (const [other, otherSpeed] of speeds.entries()) {
			const ratio = (paces.get(one)! / paces.get(other)!) / (speed / otherSpeed);
			t.true(ratio > 0.85 && ratio < 1.15, `${one} against ${other}: ${ratio}`);
		}
	}
});

// A short spell that moved the pace would move the shared prefixes of prompts to other endpoints, which would have to read them again.
test('a spell of 600 ms in which all takes 2.5 times as long moves the typical time by 15 % at most', t => {
	for (const intervalMs of [30, 200, 650]) {
		for (let spellAt = 6000; spellAt < 7400; spellAt += 50) {
			const msAt = (now: number): number => now >= spellAt && now < spellAt + 600 ? 15 : 6;
			for (let untilMs = spellAt; untilMs < spellAt + 3000; untilMs += 100) {
				const ms = typicalMs(sampleEvery(intervalMs, untilMs, msAt), untilMs)!;
				t.true(Math.abs((ms / 6) - 1) <= 0.15, `every ${intervalMs} ms, spell at ${spellAt}, seen at ${untilMs}: ${ms}`);
			}
		}
	}
});

test('a lasting change of speed is followed within 4 seconds', t => {
	const window = sampleEvery(200, 14_000, now => now < 10_000 ? 6 : 12);
	t.is(typicalMs(window, 14_000), 12);
});

test('too few samples, or samples from long ago, tell no speed', t => {
	t.is(typicalMs(sampleEvery(100, 2000, () => 6), 2000), undefined);
	t.is(typicalMs(sampleEvery(100, 10_000, () => 6), 80_000), undefined);
});

test('endpoints are compared within their group only, and an absurd speed is bounded', t => {
	const paces = relativePaces([
		{endpoint: 'a', group: 'model', ms: 6},
		{endpoint: 'b', group: 'model', ms: 6},
		{endpoint: 'c', group: 'model', ms: 600},
		{endpoint: 'd', group: 'register', ms: 80},
	]);
	t.deepEqual([...paces], [['a', 1], ['b', 1], ['c', 4], ['d', 1]]);
});
