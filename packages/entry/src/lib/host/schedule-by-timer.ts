import type {Schedule} from '../../adapter/schedule.js';

/** Calls `callback` once after `delayMs`, by a timer of the process. Returns the function that cancels the call. */
export const scheduleByTimer: Schedule = (delayMs, callback) => {
	const timer = setTimeout(callback, delayMs);
	return () => {
		clearTimeout(timer);
	};
};
