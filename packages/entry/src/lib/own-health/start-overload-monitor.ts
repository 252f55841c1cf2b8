import type {Log} from '../../adapter/log.js';
import type {LatenessEvent} from './lateness-event.js';
import type {OverloadMonitor} from './overload-monitor.js';
import type {Lateness} from './lateness.js';
import {stepLateness} from './step-lateness.js';
import {stepShedding} from './step-shedding.js';

/** How often the lateness of timers is sampled, in ms: ten samples weigh as one average (`stepLateness`). */
const sampleEveryMs = 100;

/** Within a hall, a connection over a link that keeps up is faster than this, in ms. While requests are turned away there are few of them. */
const fastConnectMs = 10;

/** After this time without a new connection, in ms, nothing is known of the link. */
const connectMemoryMs = 1000;

type Options = {
	/** How late an event of a stream may be passed on, in ms. */
	readonly boundMs: number;
	/** Requests open now. */
	readonly open: () => number;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Watches how late this process's timers are, and how long connections within its hall take: a host whose core or link cannot
keep up sends callers elsewhere, and blames no endpoint for its own delays.
*/
export const startOverloadMonitor = ({boundMs, open, log, now}: Options): OverloadMonitor => {
	let lateness: Lateness = {
		timerMs: 0, connectMs: 0, isLate: false, isOverloaded: false,
	};
	let sampledAt = now();
	/** When the last connection came up, and how long it took, in monotonic ms and ms. */
	let lastConnect = {at: now(), tookMs: 0};
	/** The most requests that are kept open. */
	let limit: number | undefined;

	const step = (event: LatenessEvent): void => {
		const next = stepLateness(lateness, event, boundMs);
		if (next.isOverloaded !== lateness.isOverloaded) {
			log(next.isOverloaded ? 'overload_began' : 'overload_ended', {
				timer_ms: Math.round(next.timerMs), connect_ms: Math.round(next.connectMs), bound_ms: boundMs, open: open(),
			});
		}

		lateness = next;
	};

	const timer = setInterval(() => {
		const lateMs = Math.max(0, now() - sampledAt - sampleEveryMs);
		sampledAt = now();
		step({type: 'timer_fired', lateMs});
		if (lastConnect.tookMs < fastConnectMs || now() - lastConnect.at > connectMemoryMs) {
			step({type: 'link_calm'});
		}

		limit = stepShedding(limit, {...lateness, open: open()});
	}, sampleEveryMs);
	timer.unref();
	return {
		noteConnect(tookMs) {
			lastConnect = {at: now(), tookMs};
			step({type: 'connected', tookMs});
		},
		isOverloaded: () => lateness.isOverloaded,
		isShedding: () => limit !== undefined && open() > limit,
		close() {
			clearInterval(timer);
		},
	};
};
