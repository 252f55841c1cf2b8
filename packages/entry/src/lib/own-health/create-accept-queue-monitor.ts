import {splitAddress} from '@deckwheel/core';
import type {AcceptProbe} from './accept-probe.js';
import type {AcceptQueueMonitor} from './accept-queue-monitor.js';
import type {ConnectionRate} from './connection-rate.js';
import {isConnectionSurge} from './is-connection-surge.js';
import {isQueueLong} from './is-queue-long.js';
import {isSheddingConnections} from './is-shedding-connections.js';
import {startAcceptProbe} from './start-accept-probe.js';
import {stepConnectionRate} from './step-connection-rate.js';

/** How often the wait of new connections is measured while requests of callers are open, in ms. */
const measureEveryMs = 200;

/** How long other hosts should accept new connections after this one closed some unread, in ms: the balancer takes a host out that twice in a row, each second, is not ready. */
const notReadyMs = 2500;

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
	/** The ip of this host, from which only its measurements connect. */
	let ownHost: string | undefined;
	let isLong = false;
	let isShedding = false;
	let rate: ConnectionRate = {recent: 0, usual: 0};
	let acceptedCount = 0;
	let countedAt = now();
	/** When this host last shed connections, in monotonic ms. */
	let shedAt = Number.NEGATIVE_INFINITY;

	const waitedMs = (): number => probe ? Math.max(lastWaitMs, now() - probe.startedAt) : lastWaitMs;

	const updateShedding = (): boolean => {
		isShedding = isSheddingConnections({wasShedding: isShedding, waitedMs: waitedMs(), isSurge: isConnectionSurge(rate)});
		shedAt = isShedding ? now() : shedAt;
		return isShedding;
	};

	const reportWait = (): void => {
		isLong = isQueueLong(isLong, waitedMs());
		updateShedding();
		onMeasured(waitedMs());
	};

	const endProbe = (address: string, finalWaitMs: number): void => {
		probe = undefined;
		lastWaitMs = finalWaitMs;
		reportWait();
		// The queue may be empty long before the next tick.
		if (isShedding) {
			measure(address);
		}
	};

	const measure = (address: string): void => {
		probe = startAcceptProbe({
			address,
			onEnd(finalWaitMs) {
				endProbe(address, finalWaitMs);
			},
			now,
		});
	};

	const countConnections = (): void => {
		rate = stepConnectionRate(rate, acceptedCount, now() - countedAt);
		acceptedCount = 0;
		countedAt = now();
	};

	const tick = (address: string): void => {
		countConnections();
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

			acceptedCount++;
			return updateShedding();
		},
		waitedMs,
		isQueueLong: () => isLong || now() - shedAt < notReadyMs,
		close() {
			clearInterval(timer);
			probe?.close();
		},
	};
};
