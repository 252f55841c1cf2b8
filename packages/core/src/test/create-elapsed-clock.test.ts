import test from 'ava';
import {createElapsedClock} from '../create-elapsed-clock.js';

const start = () => {
	const time = {monotonic: 1000, wall: 5_000_000};
	const elapsed = createElapsedClock({monotonic: () => time.monotonic, wall: () => time.wall});
	return {
		elapsed,
		pass(monotonicMs: number, wallMs: number) {
			time.monotonic += monotonicMs;
			time.wall += wallMs;
			return elapsed();
		},
	};
};

test('while both clocks run, elapsed time is that of the steady one', t => {
	const {elapsed, pass} = start();
	t.is(elapsed(), 1000);
	t.is(pass(100, 100), 1100);
	t.is(pass(100, 101), 1200, 'a time of day that is adjusted');
});

test('time for which the machine was suspended counts', t => {
	const {pass} = start();
	t.is(pass(10, 4010), 5010);
	t.is(pass(10, 10), 5020);
});

test('a time of day that is set back changes nothing, and what is set forward after it counts', t => {
	const {pass} = start();
	t.is(pass(10, -5000), 1010);
	t.is(pass(10, 10), 1020);
	t.is(pass(10, 3010), 4030);
});
