import test from 'ava';
import {stepShedding} from '../lib/own-health/step-shedding.js';

const fine = {isOverloaded: false, isLate: false, open: 100};
const late = {isOverloaded: true, isLate: true, open: 100};
const recovering = {isOverloaded: true, isLate: false, open: 50};

const play = (start: number | undefined, inputs: Parameters<typeof stepShedding>[1], steps: number): number | undefined => {
	let limit = start;
	for (let i = 0; i < steps; i++) {
		limit = stepShedding(limit, inputs);
	}

	return limit;
};

test('a host that keeps up has no limit', t => {
	t.is(play(undefined, fine, 10), undefined);
});

test('the limit shrinks while the host is late, and never to nothing', t => {
	const first = play(undefined, late, 1)!;
	t.true(first < 100);
	t.true(play(undefined, late, 3)! < first);
	t.true(play(undefined, {...late, open: 1}, 100)! >= 1);
});

test('it stays while the host recovers', t => {
	t.is(play(50, recovering, 10), 50);
});

test('afterwards it grows until it binds no more', t => {
	t.true(play(50, {...fine, open: 55}, 1)! > 50);
	t.is(play(50, {...fine, open: 55}, 20), undefined);
});
