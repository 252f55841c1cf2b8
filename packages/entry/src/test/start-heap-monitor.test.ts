/** Guards against hosts whose processes end since their open requests fill the heap: new requests are refused before, and only as long as that is so. */
import test from 'ava';
import {planHeapLimit} from '../lib/own-heap/plan-heap-limit.js';
import {startHeapMonitor} from '../lib/own-heap/start-heap-monitor.js';

const start = () => {
	const state = {open: 0, usedBytes: 0};
	let onCollected = (): void => undefined;
	const events: string[] = [];
	const monitor = startHeapMonitor({
		open: () => state.open,
		heap: {
			use: () => ({usedBytes: state.usedBytes, limitBytes: 100}),
			onCollected(callback) {
				onCollected = callback;
				return () => undefined;
			},
		},
		log(event) {
			events.push(event);
		},
	});
	return {
		state,
		monitor,
		events,
		collect(liveBytes: number) {
			state.usedBytes = liveBytes;
			onCollected();
		},
	};
};

test('a host whose heap is nearly full takes further requests', t => {
	const {state, monitor, collect, events} = start();
	state.open = 1000;
	collect(40);
	t.false(monitor.isFull());
	collect(50);
	t.true(monitor.isFull());
	t.deepEqual(events, ['heap_limit_began']);
});

test('a host goes on refusing once enough of its requests have ended, before its heap is collected again', t => {
	const {state, monitor, collect, events} = start();
	state.open = 1000;
	collect(50);
	state.open = 700;
	t.false(monitor.isFull());
	state.open = 1000;
	t.true(monitor.isFull());
	collect(40);
	t.false(monitor.isFull());
	t.deepEqual(events, ['heap_limit_began', 'heap_limit_ended']);
});

test('a host whose heap something else fills serves no request any more', t => {
	t.is(planHeapLimit({
		liveBytes: 100, maxLiveBytes: 1, open: 10, minOpen: 4,
	}), 4);
});

test('a host whose heap fills before it is collected takes further requests, or none once others have ended', t => {
	const {state, monitor, events} = start();
	state.open = 1000;
	state.usedBytes = 57;
	t.false(monitor.isFull());
	state.usedBytes = 59;
	t.true(monitor.isFull());
	state.open = 900;
	t.false(monitor.isFull());
	state.open = 1000;
	t.true(monitor.isFull());
	t.deepEqual(events, ['heap_limit_began']);
});
