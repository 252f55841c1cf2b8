/** Guards against a signal that counts as sent when it was noticed, or later than it can have been sent. */
import test from 'ava';
import {createPollMonitor} from '../create-poll-monitor.js';

/** A process whose timer and polls a test runs, with a clock that it sets. */
const createProcess = () => {
	let time = 1000;
	let onTimer: () => void = () => undefined;
	let pending: Array<() => void> = [];
	const monitor = createPollMonitor({
		every(_pauseMs, callback) {
			onTimer = callback;
		},
		afterPoll(callback) {
			pending.push(callback);
		},
		elapsed: () => time,
	});
	return {
		...monitor,
		pass(ms: number) {
			time += ms;
		},
		fire() {
			onTimer();
		},
		poll() {
			const callbacks = pending;
			pending = [];
			for (const callback of callbacks) {
				callback();
			}
		},
	};
};

test('before its first poll, a process counts from when it began to listen', t => {
	const host = createProcess();
	host.pass(400);
	t.is(host.polledAfter(), 1000);
});

test('a process that stands still does not count as polling', t => {
	const host = createProcess();
	host.pass(100);
	host.fire();
	host.poll();
	host.pass(2500);
	t.is(host.polledAfter(), 1100);
});

test('a timer that fires after a stop, before the poll that finds the signal, proves no poll', t => {
	const host = createProcess();
	host.pass(100);
	host.fire();
	host.poll();
	host.pass(2500);
	host.fire();
	t.is(host.polledAfter(), 1100);
	host.poll();
	t.is(host.polledAfter(), 3600);
});

test('a stop between the timer and the poll does not count as polling', t => {
	const host = createProcess();
	host.pass(100);
	host.fire();
	host.pass(2500);
	host.poll();
	t.is(host.polledAfter(), 1100);
});
