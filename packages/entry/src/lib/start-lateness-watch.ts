import type {Log} from '../log.js';
import type {Lateness} from './lateness.js';
import {stepLateness} from './step-lateness.js';

const sampleEveryMs = 100;

type Options = {
	/** How late an event of a stream may be passed on, in ms. */
	readonly boundMs: number;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Knows whether this host keeps up with its work. */
type LatenessWatch = {
	/** Notes how long a request's body took to come after its head, in ms. */
	readonly noteBody: (delayMs: number) => void;
	readonly isOverloaded: () => boolean;
	readonly close: () => void;
};

/**
Watches how late this process's timers are, and how long bodies take to reach it: a host whose core or link cannot keep up
sends callers elsewhere, and blames no endpoint for its own delays.
*/
export const startLatenessWatch = ({boundMs, log, now}: Options): LatenessWatch => {
	let lateness: Lateness = {averageMs: 0, isOverloaded: false};
	let sampledAt = now();
	const note = (source: 'timer' | 'body', sampleMs: number): void => {
		const next = stepLateness(lateness, source, sampleMs, boundMs);
		if (next.isOverloaded !== lateness.isOverloaded) {
			log(next.isOverloaded ? 'overload_began' : 'overload_ended', {source, average_ms: Math.round(next.averageMs), bound_ms: boundMs});
		}

		lateness = next;
	};

	const timer = setInterval(() => {
		const sampleMs = Math.max(0, now() - sampledAt - sampleEveryMs);
		sampledAt = now();
		note('timer', sampleMs);
	}, sampleEveryMs);
	timer.unref();
	return {
		noteBody(delayMs) {
			note('body', delayMs);
		},
		isOverloaded: () => lateness.isOverloaded,
		close() {
			clearInterval(timer);
		},
	};
};
