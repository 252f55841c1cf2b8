import test from 'ava';
import {createElapsedClock} from '../create-elapsed-clock.js';

const createFakeClock = () => {
	const time = {monotonic: 1000, wall: 5_000_000};
	const elapsed = createElapsedClock({monotonic: () => time.monotonic, wall: () => time.wall});
	return {
		elapsed,
		advance(monotonicMs: number, wallMs: number) {
			time.monotonic += monotonicMs;
			time.wall += wallMs;
			return elapsed();
		},
	};
};

test('small adjustments of the wall clock do not change elapsed time', t => {
	const {elapsed, advance} = createFakeClock();
	t.is(elapsed(), 1000);
	t.is(advance(100, 100), 1100);
	t.is(advance(100, 101), 1200, 'the wall clock is adjusted by 1 ms');
});

test('elapsed time includes a suspension of the machine', t => {
	const {advance} = createFakeClock();
	t.is(advance(10, 4010), 5010);
	t.is(advance(10, 10), 5020);
});

test('setting the wall clock back does not change elapsed time, nor hide a later suspension', t => {
	const {advance} = createFakeClock();
	t.is(advance(10, -5000), 1010);
	t.is(advance(10, 10), 1020);
	t.is(advance(10, 3010), 4030);
});
