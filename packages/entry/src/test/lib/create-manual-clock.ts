import {performance} from 'node:perf_hooks';
import type {Schedule} from '../../adapter/schedule.js';

/** A clock that stands still until a test advances it. */
export type ManualClock = {
	/** Monotonic ms. */
	readonly now: () => number;
	/** Schedules a callback for a time of this clock. */
	readonly schedule: Schedule;
	/** Advances the clock by a time, in ms, and calls each callback that becomes due at its due time. */
	readonly advance: (ms: number) => void;
};

type Timer = {readonly dueAt: number; readonly callback: () => void};

/** Creates a manual clock for the hosts of a test. It starts at the monotonic time of the process. */
export const createManualClock = (): ManualClock => {
	let time = performance.now();
	let timers: readonly Timer[] = [];
	return {
		now: () => time,
		schedule(delayMs, callback) {
			const timer = {dueAt: time + delayMs, callback};
			timers = [...timers, timer];
			return () => {
				timers = timers.filter(other => other !== timer);
			};
		},
		advance(ms) {
			const until = time + ms;
			for (;;) {
				const [nextTimer] = timers.filter(({dueAt}) => dueAt <= until).sort((one, other) => one.dueAt - other.dueAt);
				if (!nextTimer) {
					break;
				}

				timers = timers.filter(timer => timer !== nextTimer);
				time = Math.max(time, nextTimer.dueAt);
				nextTimer.callback();
			}

			time = until;
		},
	};
};
