import {LRUCache} from 'lru-cache';
import type {Log} from '../../adapter/log.js';

/** The least time between two log lines of the same event about the same peer, in ms: a peer of another version sends bad input many times a second. */
const intervalMs = 60_000;

/** The most peers whose last line is remembered: a bound on memory. */
const maxPeers = 5000;

/**
Wraps a log, so that an event about a peer is logged once a minute at most. A peer is told apart by the fields `from` and `address`.

@param now Monotonic ms.
*/
export const createSparseLog = (log: Log, now: () => number): Log => {
	const loggedAt = new LRUCache<string, number>({max: maxPeers});
	return (event, fields) => {
		const key = `${event} ${fields?.from ?? ''} ${fields?.address ?? ''}`;
		if (now() - (loggedAt.get(key) ?? Number.NEGATIVE_INFINITY) >= intervalMs) {
			loggedAt.set(key, now());
			log(event, fields);
		}
	};
};
