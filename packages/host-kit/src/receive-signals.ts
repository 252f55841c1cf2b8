import type {EventEmitter} from 'node:events';
import {createElapsedClock} from '@deckwheel/core/create-elapsed-clock';
import {createPollMonitor} from './create-poll-monitor.js';

type SignalName = 'SIGHUP' | 'SIGTERM' | 'SIGINT';

/**
Acts on a signal.

@param sentAfter The earliest instant at which the signal may have been sent, in monotonic ms. The process notices a signal late where it
does not run: while it is stopped, its machine suspended, or its core busy.
*/
export type SignalListener = (sentAfter: number) => void;

/** The signals that a process has received. */
export type ReceivedSignals = {
	/** Calls `listener` at each signal from now on, in place of the listener before; at once if one came while nothing listened. */
	readonly on: (signal: SignalName, listener: SignalListener) => void;
	/** Keeps a signal for the next listener. */
	readonly hold: (signal: SignalName) => void;
};

const monotonic = (): number => performance.now();

/** Returns the earliest instant at which a signal that is noticed now may have been sent, in monotonic ms. */
const watchPolls = (): (() => number) => {
	const elapsed = createElapsedClock({wall: Date.now, monotonic});
	const monitor = createPollMonitor({
		every(pauseMs, callback) {
			setInterval(callback, pauseMs).unref();
		},
		afterPoll(callback) {
			setImmediate(callback);
		},
		elapsed,
	});
	return () => monotonic() - (elapsed() - monitor.polledAfter());
};

/**
Receives the signals of a process, so that none ends it before the parts that act on them are loaded and started.

A main module calls this before it loads anything else: this module and those that it imports load nothing else.
*/
export const receiveSignals = (owner: Pick<EventEmitter, 'on'>, ...names: readonly SignalName[]): ReceivedSignals => {
	const sentAfter = watchPolls();
	const listeners = new Map<SignalName, SignalListener>();
	/** The held signals, and the earliest instant at which the first of each may have been sent. */
	const held = new Map<SignalName, number>();
	for (const name of names) {
		owner.on(name, () => {
			const listener = listeners.get(name);
			if (listener) {
				listener(sentAfter());
			} else if (!held.has(name)) {
				held.set(name, sentAfter());
			}
		});
	}

	return {
		on(signal, listener) {
			listeners.set(signal, listener);
			const heldSince = held.get(signal);
			if (heldSince !== undefined) {
				held.delete(signal);
				listener(heldSince);
			}
		},
		hold(signal) {
			listeners.delete(signal);
		},
	};
};
