import test from 'ava';
import type {LatenessEvent} from '../lib/own-health/lateness-event.js';
import type {Lateness} from '../lib/own-health/lateness.js';
import {stepLateness} from '../lib/own-health/step-lateness.js';

const boundMs = 100;
const onTime: Lateness = {
	timerMs: 0, connectMs: 0, isLate: false, isOverloaded: false,
};

const after = (events: readonly LatenessEvent[], from = onTime): Lateness => {
	let lateness = from;
	for (const event of events) {
		lateness = stepLateness(lateness, event, boundMs);
	}

	return lateness;
};

const timers = (lateMs: number, times: number): readonly LatenessEvent[] => Array.from({length: times}, () => ({type: 'timer_fired', lateMs}));
const connects = (tookMs: number, times: number): readonly LatenessEvent[] => Array.from({length: times}, () => ({type: 'connected', tookMs}));

test('a host that is late for some time is overloaded', t => {
	t.true(after(timers(80, 20)).isOverloaded);
});

test('one long pause is no overload', t => {
	t.false(after(timers(60_000, 1)).isOverloaded);
});

test('a host that is a little late now and then is not overloaded', t => {
	const now = Array.from({length: 10}, () => [...timers(100, 1), ...timers(5, 4)]).flat();
	t.false(after(now).isOverloaded);
});

test('a host on time whose connections take long has a link that cannot keep up', t => {
	const second = [...timers(0, 10), ...connects(250, 10)];
	t.true(after(second).isOverloaded);
});

test('a single endpoint that accepts no connection is no overload', t => {
	t.false(after([...connects(1, 20), ...connects(60_000, 3)]).isOverloaded);
});

test('overload ends only when the host is on time again, and does not flutter', t => {
	const overloaded = after(timers(80, 20));
	t.true(after(timers(30, 50), overloaded).isOverloaded);
	t.false(after(timers(2, 50), overloaded).isOverloaded);
});

test('a host that opens no connections any more is not overloaded for good', t => {
	const overloaded = after(connects(250, 20));
	const calm: readonly LatenessEvent[] = Array.from({length: 30}, () => ({type: 'link_calm'}));
	t.false(after(calm, overloaded).isOverloaded);
});
