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

test('the caller of a request counts as there, although bytes or its new connection may have stood unread for half a second', t => {
	const now = 10_000;
	t.true(isCallerSeen({unreadMs: 300, arrival: undefined, now}));
	t.false(isCallerSeen({unreadMs: 500, arrival: undefined, now}));
	const accepted = {acceptedAt: now - 10, earliestAt: now - 500};
	t.false(isCallerSeen({unreadMs: 300, arrival: accepted, now}));
	t.true(isCallerSeen({unreadMs: 300, arrival: {...accepted, earliestAt: now - 20}, now}));
	t.true(isCallerSeen({unreadMs: 300, arrival: {acceptedAt: now - 400, earliestAt: now - 900}, now}));
});
