import type {Schedule} from '../../adapter/schedule.js';

/** Calls back by a timer of the process. */
export const scheduleByTimer: Schedule = (delayMs, callback) => {
	const timer = setTimeout(callback, delayMs);
	return () => {
		clearTimeout(timer);
	};
};
