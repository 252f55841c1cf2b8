import type {LatenessEvent} from './lateness-event.js';
import type {Lateness} from './lateness.js';

/** The weight of one sample in an average: about ten samples count, a second of timers. */
const sampleWeight = 0.1;

/** One long pause (a freeze that ended, a collection of garbage) is no lasting overload: samples are cut to this many bounds. */
const mostTimerBounds = 4;

/** Nor is a single endpoint that is silent: it takes several slow connections in a row. */
const mostConnectBounds = 1;

/** The part of the bound at which overload begins: half, so that events still pass in time. */
const beginShare = 0.5;

/** The part of the bound at which overload ends. Between the two, the state stays as it is. */
const endShare = 0.1;

const average = (before: number, sample: number): number => before + ((sample - before) * sampleWeight);

const take = (lateness: Lateness, event: LatenessEvent, boundMs: number): Lateness => {
	switch (event.type) {
		case 'timer_fired': {
			return {...lateness, timerMs: average(lateness.timerMs, Math.min(event.lateMs, boundMs * mostTimerBounds))};
		}

		case 'connected': {
			return {...lateness, connectMs: average(lateness.connectMs, Math.min(event.tookMs, boundMs * mostConnectBounds))};
		}

		case 'link_calm': {
			return {...lateness, connectMs: average(lateness.connectMs, 0)};
		}
	}
};

/**
Moves a host's lateness on by one event. Pure.

@param boundMs How late an event of a stream may be passed on.
*/
export const stepLateness = (before: Lateness, event: LatenessEvent, boundMs: number): Lateness => {
	const next = take(before, event, boundMs);
	const worstMs = Math.max(next.timerMs, next.connectMs);
	const isLate = worstMs > boundMs * beginShare;
	return {...next, isLate, isOverloaded: isLate || (before.isOverloaded && worstMs > boundMs * endShare)};
};
