import test from 'ava';
import fc from 'fast-check';
import {mayForward} from '../lib/host/may-forward.js';
import {planShutdown} from '../lib/host/plan-shutdown.js';

/** When the host notices the signal to stop, in monotonic ms. */
const signalAt = fc.integer({min: 0, max: 1_000_000});
/** The time from the signal until the kill of the process, in ms. */
const graceMs = fc.integer({min: 2000, max: 60_000});
/** A time after the signal, in ms. */
const after = fc.integer({min: 0, max: 100_000});

test('a host that is not shutting down forwards every request', t => {
	fc.assert(fc.property(signalAt, after, (now, timeLeft) => mayForward({shutdownPlan: undefined, now, deadline: now + timeLeft})));
	t.pass();
});

test('a host that is shutting down forwards a request only within the linger, or if its deadline comes while the host still waits for requests', t => {
	fc.assert(fc.property(signalAt, graceMs, after, after, (at, grace, sentAfter, endsAfter) => {
		const shutdownPlan = planShutdown(at, grace);
		const now = at + sentAfter;
		const deadline = at + endsAfter;
		return !mayForward({shutdownPlan, now, deadline}) || now < shutdownPlan.forwardAllUntil || (now < shutdownPlan.waitForRequestsUntil && deadline < shutdownPlan.waitForRequestsUntil);
	}));
	t.pass();
});

test('a host that is shutting down forwards every request within the linger', t => {
	fc.assert(fc.property(signalAt, graceMs, after, after, (at, grace, sentAfter, endsAfter) => {
		const shutdownPlan = planShutdown(at, grace);
		const now = at + sentAfter;
		return now >= shutdownPlan.forwardAllUntil || mayForward({shutdownPlan, now, deadline: at + endsAfter});
	}));
	t.pass();
});

test('a request that may not be forwarded may not be forwarded later either', t => {
	fc.assert(fc.property(signalAt, graceMs, fc.tuple(after, after), after, (at, grace, times, endsAfter) => {
		const shutdownPlan = planShutdown(at, grace);
		const deadline = at + endsAfter;
		const [earlier, later] = [Math.min(...times), Math.max(...times)];
		return mayForward({shutdownPlan, now: at + earlier, deadline}) || !mayForward({shutdownPlan, now: at + later, deadline});
	}));
	t.pass();
});

test('no request is forwarded once the host returns its last rights', t => {
	fc.assert(fc.property(signalAt, graceMs, after, after, (at, grace, sentAfter, endsAfter) =>
		!mayForward({shutdownPlan: {...planShutdown(at, grace), isForwardingOver: true}, now: at + sentAfter, deadline: at + endsAfter})));
	t.pass();
});

// Requests that callers send up to 3 s after the signal may be cut at the end of the shutdown; later requests may not. The host counts the
// 3 s from when it notices the signal.
test('a signal that is noticed up to 250 ms late lets no request without a deadline be forwarded later than 3 s after the signal', t => {
	const graceOfPlatform = 8000;
	fc.assert(fc.property(signalAt, fc.integer({min: 0, max: 250}), after, (sentAt, lateMs, requestAfter) => {
		const shutdownPlan = planShutdown(sentAt + lateMs, graceOfPlatform);
		const now = sentAt + requestAfter;
		return requestAfter < 3000 || !mayForward({shutdownPlan, now, deadline: Number.POSITIVE_INFINITY});
	}));
	t.pass();
});

test('a shutdown of 8 s accepts connections for 3 s and keeps the last second for the return of rights', t => {
	t.deepEqual(planShutdown(100, 8000), {
		forwardAllUntil: 2850,
		listenUntil: 3100,
		respondBy: 6900,
		endExcessFrom: 5434,
		endStreamsFrom: 6767,
		waitForRequestsUntil: 7100,
		cutRequestsAt: 7700,
		waitForFinalResponsesUntil: 7900,
		isForwardingOver: false,
	});
});
