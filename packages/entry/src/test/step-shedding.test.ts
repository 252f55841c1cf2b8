import test from 'ava';
import {stepShedding} from '../lib/own-health/step-shedding.js';

const onTime = {isOverloaded: false, isLate: false, open: 100};
const late = {isOverloaded: true, isLate: true, open: 100};
const recovering = {isOverloaded: true, isLate: false, open: 50};

const stepTimes = (start: number | undefined, inputs: Parameters<typeof stepShedding>[1], steps: number): number | undefined => {
	let limit = start;
	for (let i = 0; i < steps; i++) {
		limit = stepShedding(limit, inputs);
	}

	return limit;
};

test('a host that keeps up has no limit of open requests', t => {
	t.is(stepTimes(undefined, onTime, 10), undefined);
});

test('the limit of open requests shrinks while the host is late, but never to zero', t => {
	const first = stepTimes(undefined, late, 1)!;
	t.true(first < 100);
	t.true(stepTimes(undefined, late, 3)! < first);
	t.true(stepTimes(undefined, {...late, open: 1}, 100)! >= 1);
});

test('the limit of open requests stays while the host recovers', t => {
	t.is(stepTimes(50, recovering, 10), 50);
});

test('the limit of open requests grows once the host keeps up, until it is dropped', t => {
	t.true(stepTimes(50, {...onTime, open: 55}, 1)! > 50);
	t.is(stepTimes(50, {...onTime, open: 55}, 20), undefined);
});
