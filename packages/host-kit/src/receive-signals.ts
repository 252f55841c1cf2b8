import type {EventEmitter} from 'node:events';

type SignalName = 'SIGHUP' | 'SIGTERM' | 'SIGINT';

/** The signals that a process has received. */
export type ReceivedSignals = {
	/** Calls `listener` at each signal from now on, in place of the listener before; at once if one came while nothing listened. */
	readonly on: (signal: SignalName, listener: () => void) => void;
	/** Keeps a signal for the next listener. */
	readonly hold: (signal: SignalName) => void;
};

/**
Receives the signals of a process, so that none ends it before the parts that act on them are loaded and started.

A main module calls this before it loads anything else: this module imports nothing.
*/
export const receiveSignals = (owner: Pick<EventEmitter, 'on'>, ...names: readonly SignalName[]): ReceivedSignals => {
	const listeners = new Map<SignalName, () => void>();
	const held = new Set<SignalName>();
	for (const name of names) {
		owner.on(name, () => {
			const listener = listeners.get(name);
			if (listener) {
				listener();
			} else {
				held.add(name);
			}
		});
	}

	return {
		on(signal, listener) {
			listeners.set(signal, listener);
			if (held.delete(signal)) {
				listener();
			}
		},
		hold(signal) {
			listeners.delete(signal);
		},
	};
};
