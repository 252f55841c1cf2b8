import test from 'ava';
import type {Lateness} from '../lib/lateness.js';
import {stepLateness} from '../lib/step-lateness.js';

const boundMs = 100;
const onTime: Lateness = {averageMs: 0, isOverloaded: false};

const after = (samples: readonly number[], from = onTime): Lateness => {
	let lateness = from;
	for (const sample of samples) {
		lateness = stepLateness(lateness, sample, boundMs);
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

test('overload ends only when the host is on time again, and does not flutter', t => {
	const overloaded = after(repeat(80, 20));
	t.true(after(repeat(30, 50), overloaded).isOverloaded);
	t.false(after(repeat(2, 50), overloaded).isOverloaded);
});
