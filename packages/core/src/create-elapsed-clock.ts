import type {Clock} from './clock.js';

/**
Gain of the wall clock on the monotonic clock between two readings from which the gain counts as a suspension, in ms. Usual
adjustments of a wall clock between two readings are smaller.
*/
const minSuspensionMs = 250;

/**
Creates a clock of elapsed time, in ms, that includes the time for which the machine was suspended. The monotonic clock leaves
that time out.

The elapsed clock is for ages: of data received from other hosts, and of idle connections. A wall clock that is set forward also
counts as a suspension, so data and connections may expire too early, but never too late. Deadlines of requests must not use the
elapsed clock.
*/
export const createElapsedClock = ({wall, monotonic}: Clock): (() => number) => {
	let suspendedMs = 0;
	let wallOffsetMs = wall() - monotonic();
	return () => {
		const monotonicMs = monotonic();
		const currentWallOffsetMs = wall() - monotonicMs;
		if (currentWallOffsetMs - wallOffsetMs >= minSuspensionMs) {
			suspendedMs += currentWallOffsetMs - wallOffsetMs;
		}

		wallOffsetMs = currentWallOffsetMs;
		return monotonicMs + suspendedMs;
	};
};
