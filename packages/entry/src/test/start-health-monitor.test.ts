/** Guards against a late host that takes its own lateness for a cut link, and leaves the runs that are under way. */
import {setTimeout as wait} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {defaultTimeouts} from '../default-timeouts.js';
import {startHealthMonitor} from '../lib/host/start-health-monitor.js';
import {closedAddress} from './lib/closed-address.js';

/** Several ticks of the monitors, and so some probes, in ms. */
const severalTicksMs = 500;

/** Starts the monitors of a host that does not reach the only endpoint of another hall. `onAsked`: called when peers are asked whether they do. */
const startMonitors = async (t: ExecutionContext, onAsked: () => void) => {
	const endpoint = {
		id: 'e1', instance: 'e1', address: await closedAddress(), hall: 'b', serves: ['s'], slots: 1, isLeaving: false,
	};
	const health = startHealthMonitor({
		hall: 'a',
		isEvacuated: () => false,
		bounds: {
			retryRatio: 1, retryWindowMs: 10_000, storeWritesPerSecond: 400, relayMs: 100, stopGraceMs: 20_000, warmup: undefined, configApplyMs: undefined,
		},
		timeouts: defaultTimeouts,
		open: () => 0,
		openLessUrgent: () => 0,
		async reachedByPeers() {
			onAsked();
			return new Set();
		},
		closeIdle: () => undefined,
		log: () => undefined,
		now: () => performance.now(),
	});
	t.teardown(health.close);
	health.list([endpoint]);
	return {health, endpoint};
};

test('peers are asked about a hall whose probe fails', async t => {
	let resolveAsked: () => void;
	const asked = new Promise<void>(resolve => {
		resolveAsked = resolve;
	});
	const {health} = await startMonitors(t, () => {
		resolveAsked();
	});
	health.halls.noteConnectFailure('b');
	await asked;
	t.pass();
});

test('a host that is overloaded asks no peer about a hall whose probe fails', async t => {
	let hasAsked = false;
	const {health, endpoint} = await startMonitors(t, () => {
		hasAsked = true;
	});
	for (let count = 0; count < 20; count++) {
		health.noteConnect({...endpoint, hall: 'a'}, 250);
	}

	t.true(health.overload.isOverloaded());
	health.halls.noteConnectFailure('b');
	await wait(severalTicksMs);
	t.false(hasAsked);
});
