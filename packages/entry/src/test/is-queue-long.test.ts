/** A host is not ready for new connections while they wait long here, and does not flutter. */
import test from 'ava';
import {isQueueLong} from '../lib/own-health/is-queue-long.js';

test('a host takes new connections again once they wait shortly, and not at once', t => {
	let isLong = false;
	const after = [100, 390, 500, 200, 100, 60, 300].map(waitedMs => {
		isLong = isQueueLong(isLong, waitedMs);
		return isLong;
	});
	t.deepEqual(after, [false, false, true, true, true, false, false]);
});
