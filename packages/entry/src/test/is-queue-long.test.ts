/** Guards against a host that stays ready for new connections while they wait long at it, and against one whose readiness flaps. */
import test from 'ava';
import {isQueueLong} from '../lib/own-health/is-queue-long.js';

test('a host whose new connections waited long is not ready for them until the wait is short', t => {
	let isLong = false;
	const states = [100, 390, 500, 200, 100, 60, 300].map(waitedMs => {
		isLong = isQueueLong(isLong, waitedMs);
		return isLong;
	});
	t.deepEqual(states, [false, false, true, true, true, false, false]);
});
