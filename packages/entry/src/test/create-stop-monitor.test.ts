/** Guards against hosts that answer, after a stop, by what they knew before it. */
import test from 'ava';
import {createStopMonitor} from '../lib/own-health/create-stop-monitor.js';

const start = () => {
	let time = 5000;
	let onInterval = (): void => undefined;
	const monitor = createStopMonitor({
		every(_pauseMs, callback) {
			onInterval = callback;
			return () => undefined;
		},
		elapsed: () => time,
	});
	return {
		monitor,
		pass(ms: number) {
			time += ms;
		},
		runTimer() {
			onInterval();
		},
	};
};

test('the first question after a stop is answered before the stop is noticed', t => {
	const {monitor, pass, runTimer} = start();
	pass(200);
	runTimer();
	t.is(monitor.resumedAt(), Number.NEGATIVE_INFINITY);
	pass(1200);
	t.is(monitor.resumedAt(), 6400);
	pass(200);
	runTimer();
	t.is(monitor.resumedAt(), 6400);
});

test('a stop is forgotten when a timer runs first after it, or a busy host counts as stopped', t => {
	const {monitor, pass, runTimer} = start();
	pass(900);
	runTimer();
	t.is(monitor.resumedAt(), Number.NEGATIVE_INFINITY);
	pass(3000);
	runTimer();
	t.is(monitor.resumedAt(), 8900);
});
