import type {LatenessEvent} from './lateness-event.js';
import type {Lateness} from './lateness.js';

/** The weight of one sample in a moving average: about the last ten samples count, which is a second for samples of timers. */
const sampleWeight = 0.1;

/** A sample of a timer is cut to this many times the bound: one long pause (a freeze that ended, a garbage collection) is no overload. */
const maxTimerSampleBounds = 4;

/** A sample of a connection is cut to this many times the bound: one silent endpoint is no overload, which takes several slow connections in a row. */
const maxConnectSampleBounds = 1;

/** Overload begins above this share of the bound: half, so that events are still relayed in time. */
const overloadBeginShare = 0.5;

/** Overload ends at this share of the bound. Between the two shares the state stays as it is, so that the host does not flap. */
const overloadEndShare = 0.1;

const movingAverage = (before: number, sample: number): number => before + ((sample - before) * sampleWeight);

const applyEvent = (lateness: Lateness, event: LatenessEvent, boundMs: number): Lateness => {
	switch (event.type) {
		case 'timer_fired': {
			return {...lateness, timerMs: movingAverage(lateness.timerMs, Math.min(event.lateMs, boundMs * maxTimerSampleBounds))};
		}

		case 'connected': {
			return {...lateness, connectMs: movingAverage(lateness.connectMs, Math.min(event.tookMs, boundMs * maxConnectSampleBounds))};
		}

		case 'link_calm': {
			return {...lateness, connectMs: movingAverage(lateness.connectMs, 0)};
		}
	}
};

/**
Updates the lateness of a host by one event. Pure.

@param boundMs The longest delay with which an event of a stream may be relayed, in ms.
*/
export const stepLateness = (before: Lateness, event: LatenessEvent, boundMs: number): Lateness => {
	const next = applyEvent(before, event, boundMs);
	const worstMs = Math.max(next.timerMs, next.connectMs);
	const isLate = worstMs > boundMs * overloadBeginShare;
	return {...next, isLate, isOverloaded: isLate || (before.isOverloaded && worstMs > boundMs * overloadEndShare)};
};
