import type {Log} from '../../adapter/log.js';

/** Waits of new connections that are shorter than this, in ms, are not logged. */
const minLoggedMs = 100;

/** Long waits are logged at most once in this time, in ms. */
const logEveryMs = 1000;

type Options = {
	/** The number of requests that are open now. */
	readonly open: () => number;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the function that is called with each measured wait of new connections, in ms, and logs long waits. */
export const createWaitLog = ({open, log, now}: Options): ((waitedMs: number) => void) => {
	let nextLogAt = Number.NEGATIVE_INFINITY;
	return waitedMs => {
		if (waitedMs >= minLoggedMs && now() >= nextLogAt) {
			nextLogAt = now() + logEveryMs;
			log('connections_wait', {waited_ms: Math.round(waitedMs), open: open()});
		}
	};
};
