import type {Log} from '../../adapter/log.js';

/** Shorter waits of new connections are no news, in ms. */
const longMs = 100;

/** Long waits are logged no more often, in ms. */
const everyMs = 1000;

type Options = {
	/** Requests open now. */
	readonly open: () => number;
	readonly log: Log;
	/** Monotonic ms. */
	readonly now: () => number;
};

/** Creates the function that takes in how long new connections wait, in ms, and logs long waits. */
export const createWaitLog = ({open, log, now}: Options): ((waitedMs: number) => void) => {
	let againAt = Number.NEGATIVE_INFINITY;
	return waitedMs => {
		if (waitedMs >= longMs && now() >= againAt) {
			againAt = now() + everyMs;
			log('connections_wait', {waited_ms: Math.round(waitedMs), open: open()});
		}
	};
};
