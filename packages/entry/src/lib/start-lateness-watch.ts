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

type LatenessWatch = {
	readonly isOverloaded: () => boolean;
	readonly close: () => void;
};

/** Watches how late this process's timers are: a host that cannot keep up sends callers elsewhere, and blames no endpoint for its own delays. */
export const startLatenessWatch = ({boundMs, log, now}: Options): LatenessWatch => {
	let lateness: Lateness = {averageMs: 0, isOverloaded: false};
	let sampledAt = now();
	const timer = setInterval(() => {
		const sampleMs = Math.max(0, now() - sampledAt - sampleEveryMs);
		sampledAt = now();
		const next = stepLateness(lateness, sampleMs, boundMs);
		if (next.isOverloaded !== lateness.isOverloaded) {
			log(next.isOverloaded ? 'overload_began' : 'overload_ended', {average_ms: Math.round(next.averageMs), bound_ms: boundMs});
		}

		lateness = next;
	}, sampleEveryMs);
	timer.unref();
	return {
		isOverloaded: () => lateness.isOverloaded,
		close() {
			clearInterval(timer);
		},
	};
};
