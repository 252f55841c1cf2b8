import {connect, type Socket} from 'node:net';
import {splitAddress} from '@deckwheel/core';
import type {AcceptWatch} from './accept-watch.js';
import {isQueueLong} from './is-queue-long.js';

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
export const createAcceptWatch = ({isBusy, onMeasured, now}: Options): AcceptWatch => {
	/** When a connection from each port was taken; those of the measurement under way. */
	const acceptedAt = new Map<number, number>();
	let client: Socket | undefined;
	let startedAt = 0;
	let timer: NodeJS.Timeout | undefined;
	let measuredMs = 0;
	let isLong = false;

	const note = (waitedMs: number): void => {
		isLong = isQueueLong(isLong, waitedMs);
		onMeasured(waitedMs);
	};

	const finish = (waitedMs: number): void => {
		client?.destroy();
		client = undefined;
		acceptedAt.clear();
		measuredMs = waitedMs;
		note(waitedMs);
	};

	const finishIfTaken = (): void => {
		const takenAt = client?.localPort === undefined ? undefined : acceptedAt.get(client.localPort);
		if (takenAt !== undefined) {
			finish(takenAt - startedAt);
		}
	};

	const measure = (address: string): void => {
		const {host, port} = splitAddress(address);
		startedAt = now();
		client = connect(port, host);
		client.on('connect', finishIfTaken);
		// A connection that fails says nothing of the wait.
		client.on('error', () => {
			finish(0);
		});
	};

	const waitedMs = (): number => client ? Math.max(measuredMs, now() - startedAt) : measuredMs;

	const tick = (address: string): void => {
		if (client) {
			note(waitedMs());
		} else if (isBusy()) {
			measure(address);
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
		accepted({remotePort}) {
			if (client && remotePort !== undefined) {
				acceptedAt.set(remotePort, now());
				finishIfTaken();
			}
		},
		waitedMs,
		isQueueLong: () => isLong,
		close() {
			clearInterval(timer);
			client?.destroy();
		},
	};
};
