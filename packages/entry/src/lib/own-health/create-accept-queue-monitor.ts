import {splitAddress} from '@deckwheel/core';
import type {AcceptProbe} from './accept-probe.js';
import type {AcceptQueueMonitor} from './accept-queue-monitor.js';
import {createConnectionShedder} from './create-connection-shedder.js';
import {isQueueLong} from './is-queue-long.js';
import {startAcceptProbe} from './start-accept-probe.js';

/** How often the wait of new connections is measured while requests of callers are open, in ms. */
const measureEveryMs = 200;

type Options = {
	/** Whether requests of callers are open at this host. */
	readonly isBusy: () => boolean;
	/** Called with the wait in ms at the end of each measurement and while a long one is under way; with 0 while no request is open. */
	readonly onMeasured: (waitedMs: number) => void;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Creates the task that measures how long new connections wait before this process accepts them. For this the host connects to itself.

The event loop accepts one connection per turn, so while turns are long, new connections wait in the queue of the operating system.
Timers and requests on established connections show nothing of this wait, and a request that waits in the queue may be read only
after its caller has given up.
*/
export const createAcceptQueueMonitor = ({isBusy, onMeasured, now}: Options): AcceptQueueMonitor => {
	let probe: AcceptProbe | undefined;
	let timer: NodeJS.Timeout | undefined;
	let lastWaitMs = 0;
	let acceptedUpTo = now();
	/** The ip of this host, from which only its measurements connect. */
	let ownHost: string | undefined;
	let isLong = false;
	const shedder = createConnectionShedder(now);

	const waitedMs = (): number => probe ? Math.max(lastWaitMs, now() - probe.startedAt) : lastWaitMs;

	/** Reports the wait; returns whether new connections are closed unread because of it. */
	const reportWait = (): boolean => {
		isLong = isQueueLong(isLong, waitedMs());
		onMeasured(waitedMs());
		return shedder.isShedding(waitedMs());
	};

	const endProbe = (address: string, finalWaitMs: number): void => {
		probe = undefined;
		lastWaitMs = finalWaitMs;
		// The queue may be empty long before the next tick.
		if (reportWait()) {
			measure(address);
		}
	};

	const measure = (address: string): void => {
		const startedAt = now();
		probe = startAcceptProbe({
			address,
			onEnd(finalWaitMs) {
				if (finalWaitMs !== undefined) {
					acceptedUpTo = startedAt;
				}

				endProbe(address, finalWaitMs ?? 0);
			},
			now,
		});
	};

	const tick = (address: string): void => {
		shedder.endInterval();
		if (probe) {
			reportWait();
		} else if (isBusy()) {
			measure(address);
		} else {
			endProbe(address, 0);
		}
	};

	return {
		start(address) {
			ownHost = splitAddress(address).host;
			timer = setInterval(() => {
				tick(address);
			}, measureEveryMs);
			timer.unref();
		},
		accepted(socket) {
			probe?.noteAccepted(socket);
			// A measurement whose connection is closed before it comes up would show no wait.
			if (socket.remoteAddress === ownHost) {
				return false;
			}

			shedder.count();
			return shedder.isShedding(waitedMs());
		},
		waitedMs,
		acceptedUpTo: () => acceptedUpTo,
		isQueueLong: () => isLong || shedder.hasShedRecently(),
		close() {
			clearInterval(timer);
			probe?.close();
		},
	};
};
