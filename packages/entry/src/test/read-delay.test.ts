/** Guards against a host that was behind and takes itself to be on time: it would not look for callers that left meanwhile. */
import test from 'ava';
import {isCallerSeen} from '../lib/admission/is-caller-seen.js';
import {createReadDelay} from '../lib/own-health/create-read-delay.js';

test('what arrived while the timer did not fire counts as unread until the timer has fired twice again', t => {
	let now = 0;
	const delay = createReadDelay(() => now);
	const fireAt = (at: number): void => {
		now = at;
		delay.noteTimer();
	};

	fireAt(100);
	fireAt(200);
	now = 250;
	t.is(delay.maxMs(), 250);
	fireAt(1100);
	t.is(delay.maxMs(), 1000);
	fireAt(1200);
	t.is(delay.maxMs(), 1000);
	fireAt(1300);
	t.is(delay.maxMs(), 200);
});

test('a request counts as that of a caller that is there by what may stand unread and by its own wait for its connection, within half a second', t => {
	t.true(isCallerSeen({unreadMs: 300, waitedMs: 0}));
	t.false(isCallerSeen({unreadMs: 300, waitedMs: 200}));
	t.false(isCallerSeen({unreadMs: 500, waitedMs: 0}));
});
