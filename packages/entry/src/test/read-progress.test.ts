/** Guards against a host that was behind and takes itself to be on time: it would not look for callers that left meanwhile. */
import test from 'ava';
import {isCallerSeen} from '../lib/admission/is-caller-seen.js';
import {createReadProgress} from '../lib/own-health/create-read-progress.js';

test('what arrived while the timer did not fire counts as unread until the timer has fired twice again', t => {
	let now = 0;
	const progress = createReadProgress(() => now);
	const fireAt = (at: number): void => {
		now = at;
		progress.noteTimer();
	};

	fireAt(100);
	fireAt(200);
	t.is(progress.readUpTo(), 0);
	fireAt(1100);
	t.is(progress.readUpTo(), 100);
	fireAt(1200);
	t.is(progress.readUpTo(), 200);
	fireAt(1300);
	t.is(progress.readUpTo(), 1100);
});

test('the caller of a request counts as there, although bytes or its new connection may have stood unread for half a second', t => {
	const now = 10_000;
	t.true(isCallerSeen({readUpTo: now - 300, arrival: undefined, now}));
	t.false(isCallerSeen({readUpTo: now - 500, arrival: undefined, now}));
	const accepted = {acceptedAt: now - 10, earliestAt: now - 500};
	t.false(isCallerSeen({readUpTo: now - 300, arrival: accepted, now}));
	t.true(isCallerSeen({readUpTo: now - 300, arrival: {...accepted, earliestAt: now - 20}, now}));
	t.true(isCallerSeen({readUpTo: now - 300, arrival: {acceptedAt: now - 400, earliestAt: now - 900}, now}));
});
