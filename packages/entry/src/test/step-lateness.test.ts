import test from 'ava';
import type {Lateness} from '../lib/lateness.js';
import {stepLateness} from '../lib/step-lateness.js';

const boundMs = 100;
const onTime: Lateness = {averageMs: 0, isOverloaded: false};

const after = (samples: readonly number[], from = onTime): Lateness => {
	let lateness = from;
	for (const sample of samples) {
		lateness = stepLateness(lateness, 'timer', sample, boundMs);
	}

	return lateness;
};

const repeat = (sample: number, times: number): readonly number[] => Array.from({length: times}, () => sample);

test('a host that is late for some time is overloaded', t => {
	t.true(after(repeat(80, 20)).isOverloaded);
});

test('one long pause is no overload', t => {
	t.false(after([60_000]).isOverloaded);
});

test('a host that is a little late now and then is not overloaded', t => {
	t.false(after(Array.from({length: 50}, (_, index) => index % 5 === 0 ? 100 : 5)).isOverloaded);
});

test('so is one that requests reach late, though its timers are on time', t => {
	let lateness = onTime;
	for (let second = 0; second < 3; second++) {
		for (let i = 0; i < 10; i++) {
			lateness = stepLateness(lateness, 'timer', 0, boundMs);
			for (let request = 0; request < 6; request++) {
				lateness = stepLateness(lateness, 'body', 300, boundMs);
			}
		}
	}

	t.true(lateness.isOverloaded);
});

test('one caller with a slow link does not make a host overloaded', t => {
	const lateness = after(Array.from({length: 20}, () => 0));
	t.false(stepLateness(lateness, 'body', 10_000, boundMs).isOverloaded);
});

test('overload ends only when the host is on time again, and does not flutter', t => {
	const overloaded = after(repeat(80, 20));
	t.true(after(repeat(30, 50), overloaded).isOverloaded);
	t.false(after(repeat(2, 50), overloaded).isOverloaded);
});
