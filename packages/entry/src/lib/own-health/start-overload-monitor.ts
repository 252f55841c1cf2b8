import type {Log} from '../../adapter/log.js';
import {createReadProgress} from './create-read-progress.js';
import {isAboveOpenLimit} from './is-above-open-limit.js';
import type {LatenessEvent} from './lateness-event.js';
import type {OverloadMonitor} from './overload-monitor.js';
import type {Lateness} from './lateness.js';
import {stepLateness} from './step-lateness.js';
import {stepShedding} from './step-shedding.js';

/** How often the lateness of timers is sampled, in ms. About ten samples make an average (`stepLateness`), so one covers about a second. */
const sampleEveryMs = 100;

/**
A connection within a hall comes up faster than this, in ms, if the link of the host keeps up. After such a connection each step counts as a
sample of a calm link (`link_calm`), since few connections are opened while requests are refused.
*/
const fastConnectMs = 10;

/** The last connection says nothing about the link any more once it is older than this, in ms; the link then counts as calm. */
const connectValidMs = 1000;

type Options = {
	/** The longest delay with which an event of a stream may be relayed, in ms. */
	readonly boundMs: number;
	/** The number of requests that are open now. */
	readonly open: () => number;
	/** The number of open requests that are not of the most urgent rank. */
	readonly openLessUrgent: () => number;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/**
Starts the monitor of this host's own lateness, which it takes from the timers of this process and from the time that connections within
its hall take. A host whose processor core or network link cannot keep up sends callers to other hosts, and holds no delay of its own
against an endpoint.
*/
export const startOverloadMonitor = ({boundMs, open, openLessUrgent, log, now}: Options): OverloadMonitor => {
	let lateness: Lateness = {
		timerMs: 0, connectMs: 0, isLate: false, isOverloaded: false,
	};
	let sampledAt = now();
	/** The last connection within the hall: when it came up or was given up, in monotonic ms, and how long that took, in ms. */
	let lastConnect = {at: now(), tookMs: 0};
	/** The most requests that this host keeps open; `undefined` without a limit. */
	let openLimit: number | undefined;

	const step = (event: LatenessEvent): void => {
		const next = stepLateness(lateness, event, boundMs);
		if (next.isOverloaded !== lateness.isOverloaded) {
			log(next.isOverloaded ? 'overload_began' : 'overload_ended', {
				timer_ms: Math.round(next.timerMs), connect_ms: Math.round(next.connectMs), bound_ms: boundMs, open: open(),
			});
		}

		lateness = next;
	};

	const readProgress = createReadProgress(now);
	const timer = setInterval(() => {
		readProgress.noteTimer();
		const lateMs = Math.max(0, now() - sampledAt - sampleEveryMs);
		sampledAt = now();
		step({type: 'timer_fired', lateMs});
		if (lastConnect.tookMs < fastConnectMs || now() - lastConnect.at > connectValidMs) {
			step({type: 'link_calm'});
		}

		openLimit = stepShedding(openLimit, {...lateness, open: open()});
	}, sampleEveryMs);
	timer.unref();
	return {
		noteConnect(tookMs) {
			lastConnect = {at: now(), tookMs};
			step({type: 'connected', tookMs});
		},
		isOverloaded: () => lateness.isOverloaded,
		isShedding: rank => isAboveOpenLimit({
			openLimit, open: open(), openLessUrgent: openLessUrgent(), rank,
		}),
		readUpTo: readProgress.readUpTo,
		cause: () => lateness.connectMs > lateness.timerMs ? 'link' : 'core',
		close() {
			clearInterval(timer);
		},
	};
};
