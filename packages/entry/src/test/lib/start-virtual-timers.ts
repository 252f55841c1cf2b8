import {syncBuiltinESMExports} from 'node:module';
import promises from 'node:timers/promises';

type Timer = {readonly dueAt: number; readonly callback: () => void; readonly intervalMs: number | undefined};

/** Timers that run on virtual time, which stands still until a test advances it. */
type VirtualTimers = {
	/** The virtual time since the start of the timers, in ms. */
	readonly now: () => number;
	/** Advances the virtual time by 1 ms, calls the callbacks that are due, and then waits one turn of the event loop for the work that they started. */
	readonly advanceOneMs: () => Promise<void>;
	/** Restores the real timers. */
	readonly stop: () => void;
};

/**
Replaces the timers of this process by timers that run on virtual time, until `stop` is called.

The mock timers of `node:test` are not used, because in Node 20 they lose timers when other timers are cleared.
*/
export const startVirtualTimers = (): VirtualTimers => {
	const realTimers = {
		setTimeout: globalThis.setTimeout, clearTimeout: globalThis.clearTimeout, setInterval: globalThis.setInterval, clearInterval: globalThis.clearInterval,
	};
	const realSleep = promises.setTimeout;
	const timers = new Map<number, Timer>();
	let time = 0;
	let lastId = 0;

	const addTimer = (callback: () => void, ms: number, isRepeated: boolean): number => {
		const delayMs = Math.max(1, Math.ceil(ms));
		timers.set(++lastId, {dueAt: time + delayMs, callback, intervalMs: isRepeated ? delayMs : undefined});
		return lastId;
	};

	const removeTimer = (id: unknown): void => {
		timers.delete(id as number);
	};

	Object.assign(globalThis, {
		setTimeout: (callback: () => void, ms: number) => addTimer(callback, ms, false),
		setInterval: (callback: () => void, ms: number) => addTimer(callback, ms, true),
		clearTimeout: removeTimer,
		clearInterval: removeTimer,
	});
	Object.assign(promises, {
		setTimeout: async (ms: number) => new Promise<void>(resolve => {
			addTimer(resolve, ms, false);
		}),
	});
	syncBuiltinESMExports();

	return {
		now: () => time,
		async advanceOneMs() {
			time++;
			for (const [id, {dueAt, callback, intervalMs}] of [...timers].filter(([, timer]) => timer.dueAt <= time)) {
				if (timers.delete(id)) {
					if (intervalMs !== undefined) {
						timers.set(id, {dueAt: dueAt + intervalMs, callback, intervalMs});
					}

					callback();
				}
			}

			await promises.setImmediate();
		},
		stop() {
			Object.assign(globalThis, realTimers);
			Object.assign(promises, {setTimeout: realSleep});
			syncBuiltinESMExports();
		},
	};
};
