import type {Clock} from './clock.js';

/** What the time of day gains on the steady clock at once counts as a suspension from here on, in ms: more than clocks are adjusted by between two looks. */
const leastSuspensionMs = 250;

/**
Creates a clock of elapsed time, in ms, that counts the time for which the machine was suspended; the steady clock does not.

It is for what grows old: words of others, and kept connections. A time of day that is set forward counts as a suspension too, so
such things may grow old too early, and never too late; deadlines of requests do not belong here.
*/
export const createElapsedClock = ({wall, monotonic}: Clock): (() => number) => {
	let suspendedMs = 0;
	let aheadMs = wall() - monotonic();
	return () => {
		const steady = monotonic();
		const nowAheadMs = wall() - steady;
		if (nowAheadMs - aheadMs >= leastSuspensionMs) {
			suspendedMs += nowAheadMs - aheadMs;
		}

		aheadMs = nowAheadMs;
		return steady + suspendedMs;
	};
};
