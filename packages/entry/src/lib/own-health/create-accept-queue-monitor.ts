import type {AcceptProbe} from './accept-probe.js';
import type {AcceptQueueMonitor} from './accept-queue-monitor.js';
import {isQueueLong} from './is-queue-long.js';
import {startAcceptProbe} from './start-accept-probe.js';

/** How often the wait of new connections is measured while callers have requests open, in ms. */
const pauseMs = 200;

type Options = {
	/** Whether callers have requests open here. */
	readonly isBusy: () => boolean;
	/** Called with each measurement, in ms; with 0 while no request is open. */
	readonly onMeasured: (waitedMs: number) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates the task that measures how long new connections wait before this process takes them: it connects to itself.

The event loop takes one connection a turn, so while turns are long, connections wait in the system's queue of new ones. Neither
timers nor requests on kept connections are late by it; the requests that wait there are read when their callers may have left.
*/
export const createAcceptQueueMonitor = ({isBusy, onMeasured, now}: Options): AcceptQueueMonitor => {
	let probe: AcceptProbe | undefined;
	let timer: NodeJS.Timeout | undefined;
	let measuredMs = 0;
	let isLong = false;

	const waitedMs = (): number => probe ? Math.max(measuredMs, now() - probe.startedAt) : measuredMs;

	const note = (): void => {
		isLong = isQueueLong(isLong, waitedMs());
		onMeasured(waitedMs());
	};

	const finish = (waited: number): void => {
		probe = undefined;
		measuredMs = waited;
		note();
	};

	const tick = (address: string): void => {
		if (probe) {
			note();
		} else if (isBusy()) {
			probe = startAcceptProbe({address, onEnd: finish, now});
		} else {
			finish(0);
		}
	};

	return {
		start(address) {
			timer = setInterval(() => {
				tick(address);
			}, pauseMs);
			timer.unref();
		},
		accepted(socket) {
			probe?.accepted(socket);
		},
		waitedMs,
		isQueueLong: () => isLong,
		close() {
			clearInterval(timer);
			probe?.close();
		},
	};
};
