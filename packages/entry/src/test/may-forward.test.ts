import test from 'ava';
import fc from 'fast-check';
import {mayForward} from '../lib/host/may-forward.js';
import {planShutdown} from '../lib/host/plan-shutdown.js';

/** Of the signal, in monotonic ms. */
const signalAt = fc.integer({min: 0, max: 1_000_000});
const graceMs = fc.integer({min: 2000, max: 60_000});
/** After the signal, in ms. */
const after = fc.integer({min: 0, max: 100_000});

test('a host that does not stop sends every request on', t => {
	fc.assert(fc.property(signalAt, after, (now, timeLeft) => mayForward({stop: undefined, now, deadline: now + timeLeft})));
	t.pass();
});

test('what a stopping host sends on was asked for within the linger, or must end while the host still waits for it', t => {
	fc.assert(fc.property(signalAt, graceMs, after, after, (at, grace, sentAfter, endsAfter) => {
		const stop = planShutdown(at, grace);
		const now = at + sentAfter;
		const deadline = at + endsAfter;
		return !mayForward({stop, now, deadline}) || now < stop.takeAllUntil || (now < stop.endBy && deadline < stop.endBy);
	}));
	t.pass();
});

test('within the linger, everything is sent on', t => {
	fc.assert(fc.property(signalAt, graceMs, after, after, (at, grace, sentAfter, endsAfter) => {
		const stop = planShutdown(at, grace);
		const now = at + sentAfter;
		return now >= stop.takeAllUntil || mayForward({stop, now, deadline: at + endsAfter});
	}));
	t.pass();
});

test('a request that may not be sent on may not be later', t => {
	fc.assert(fc.property(signalAt, graceMs, fc.tuple(after, after), after, (at, grace, times, endsAfter) => {
		const stop = planShutdown(at, grace);
		const deadline = at + endsAfter;
		const [earlier, later] = [Math.min(...times), Math.max(...times)];
		return mayForward({stop, now: at + earlier, deadline}) || !mayForward({stop, now: at + later, deadline});
	}));
	t.pass();
});

test('nothing is sent on once the last rights go back', t => {
	fc.assert(fc.property(signalAt, graceMs, after, after, (at, grace, sentAfter, endsAfter) =>
		!mayForward({stop: {...planShutdown(at, grace), isOver: true}, now: at + sentAfter, deadline: at + endsAfter})));
	t.pass();
});

// A request that is sent up to 3 s after the signal may be cut at the end; one that is sent later may not.
test('a signal that is noticed a quarter of a second late moves no request beyond the 3 s in which everything is taken', t => {
	const graceOfPlatform = 8000;
	fc.assert(fc.property(signalAt, fc.integer({min: 0, max: 250}), after, (sentAt, lateMs, requestAfter) => {
		const stop = planShutdown(sentAt + lateMs, graceOfPlatform);
		const now = sentAt + requestAfter;
		return requestAfter < 3000 || !mayForward({stop, now, deadline: Number.POSITIVE_INFINITY});
	}));
	t.pass();
});

test('a stop accepts connections for 3 s, and leaves one of its 8 s to give rights back', t => {
	t.deepEqual(planShutdown(100, 8000), {
		takeAllUntil: 2850, listenUntil: 3100, answerBy: 6900, endBy: 7100, cutBy: 7700, closeBy: 7900, isOver: false,
	});
});
