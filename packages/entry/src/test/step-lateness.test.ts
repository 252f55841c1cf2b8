import test from 'ava';
import type {LatenessEvent} from '../lib/own-health/lateness-event.js';
import type {Lateness} from '../lib/own-health/lateness.js';
import {stepLateness} from '../lib/own-health/step-lateness.js';

const boundMs = 100;
const onTime: Lateness = {
	timerMs: 0, connectMs: 0, isLate: false, isOverloaded: false,
};

const stepThrough = (events: readonly LatenessEvent[], from = onTime): Lateness => {
	let lateness = from;
	for (const event of events) {
		lateness = stepLateness(lateness, event, boundMs);
	}

	return lateness;
};

const timers = (lateMs: number, times: number): readonly LatenessEvent[] => Array.from({length: times}, () => ({type: 'timer_fired', lateMs}));
const connects = (tookMs: number, times: number): readonly LatenessEvent[] => Array.from({length: times}, () => ({type: 'connected', tookMs}));

test('a host that is late for some time is overloaded', t => {
	t.true(stepThrough(timers(80, 20)).isOverloaded);
});

test('one long pause of the process is no overload', t => {
	t.false(stepThrough(timers(60_000, 1)).isOverloaded);
});

test('a host that is a little late now and then is not overloaded', t => {
	const events = Array.from({length: 10}, () => [...timers(100, 1), ...timers(5, 4)]).flat();
	t.false(stepThrough(events).isOverloaded);
});

test('a host whose timers are on time and whose connections take long is overloaded', t => {
	const events = [...timers(0, 10), ...connects(250, 10)];
	t.true(stepThrough(events).isOverloaded);
});

test('a single endpoint that accepts no connection does not make the host overloaded', t => {
	t.false(stepThrough([...connects(1, 20), ...connects(60_000, 3)]).isOverloaded);
});

test('overload ends only once the host is on time again, so that its state does not flap', t => {
	const overloaded = stepThrough(timers(80, 20));
	t.true(stepThrough(timers(30, 50), overloaded).isOverloaded);
	t.false(stepThrough(timers(2, 50), overloaded).isOverloaded);
});

test('a host that opens no connections any more recovers from overload', t => {
	const overloaded = stepThrough(connects(250, 20));
	const events: readonly LatenessEvent[] = Array.from({length: 30}, () => ({type: 'link_calm'}));
	t.false(stepThrough(events, overloaded).isOverloaded);
});
