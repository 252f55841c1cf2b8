/** Guards against callers who get what was read before they asked, and against a read for each of them. */
import test from 'ava';
import {scheduleByTimer} from '../lib/host/schedule-by-timer.js';
import {createSharedRead} from '../lib/stream-origins/stored/create-shared-read.js';
import {createManualClock} from './lib/create-manual-clock.js';

/** A read that ends when the test says so, with its number. */
const startReads = () => {
	const ends: Array<() => void> = [];
	let underWay = 0;
	let most = 0;
	const read = createSharedRead(async () => {
		underWay++;
		most = Math.max(most, underWay);
		const number = await new Promise<number>(resolve => {
			const index = ends.length;
			ends.push(() => {
				resolve(index);
			});
		});
		underWay--;
		return number;
	}, {gapMs: 0, schedule: scheduleByTimer, now: () => 0});
	const flush = async (): Promise<void> => new Promise(resolve => {
		setImmediate(resolve);
	});
	return {
		read, ends, flush, most: () => most,
	};
};

test('a caller gets the result of a read that began before the call, or callers do not share the next one', async t => {
	const {read, ends, flush, most} = startReads();
	const first = read();
	await flush();
	const others = [read(), read(), read()];
	await flush();
	t.is(ends.length, 1);
	ends[0]!();
	t.is(await first, 0);
	await flush();
	const last = read();
	ends[1]!();
	t.deepEqual(await Promise.all(others), [1, 1, 1]);
	await flush();
	ends[2]!();
	t.is(await last, 2);
	t.is(most(), 1);
});

test('a read that fails makes all later ones fail', async t => {
	let reads = 0;
	const read = createSharedRead(async () => {
		reads++;
		if (reads === 1) {
			throw new Error('no answer');
		}

		return reads;
	}, {gapMs: 0, schedule: scheduleByTimer, now: () => 0});
	await t.throwsAsync(read(), {message: 'no answer'});
	t.is(await read(), 2);
});

test('reads that callers share begin more often than once in the gap, or a caller gets one that began before the call', async t => {
	const clock = createManualClock();
	let reads = 0;
	const read = createSharedRead(async () => reads++, {gapMs: 100, schedule: clock.schedule, now: clock.now});
	t.is(await read(), 0);
	const others = Promise.all([read(), read()]);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	clock.advance(99);
	t.is(reads, 1);
	clock.advance(1);
	t.deepEqual(await others, [1, 1]);
});
