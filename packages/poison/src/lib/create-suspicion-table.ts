import {LRUCache} from 'lru-cache';
import {blockedUntil} from './blocked-until.js';
import {isBlockedAt} from './is-blocked-at.js';
import {mergeSuspicions} from './merge-suspicions.js';
import {noSuspicion} from './no-suspicion.js';
import type {SuspicionTable} from './suspicion-table.js';
import type {Suspicion} from './suspicion.js';

/** Requests that are suspected and not blocked: a bound on memory against callers who send another one each time. */
const maxSuspected = 2000;

/** Requests that are blocked, kept apart so that nobody can push them out with mere suspicions: a bound on memory. */
const maxBlocked = 500;

/** For how long the ends of a request are remembered after the last one, and after a block, in ms. */
const memoryMs = 600_000;

/** The least time that `lru-cache` takes for an entry's life, in ms. */
const shortestMs = 1;

// Times that only came nearer to the truth change nothing.
const hasMore = (merged: Suspicion, known: Suspicion): boolean =>
	[...merged.ends.keys()].some(endpoint => !known.ends.has(endpoint)) || [...merged.cleared].some(endpoint => !known.cleared.has(endpoint));

/**
Creates an empty table.

@param now Monotonic ms.
*/
export const createSuspicionTable = (now: () => number): SuspicionTable => {
	const life = {ttl: memoryMs, ttlResolution: 0, perf: {now}};
	const suspected = new LRUCache<string, Suspicion>({max: maxSuspected, ...life});
	const blocked = new LRUCache<string, Suspicion>({max: maxBlocked, ...life});

	const get = (request: string): Suspicion | undefined => blocked.get(request) ?? suspected.get(request);

	const put = (request: string, suspicion: Suspicion): void => {
		const until = blockedUntil(suspicion);
		const [kept, other] = until === undefined ? [suspected, blocked] : [blocked, suspected];
		other.delete(request);
		kept.set(request, suspicion, {ttl: Math.max(shortestMs, (until ?? now()) - now() + memoryMs)});
	};

	return {
		get,
		isEmpty: () => blocked.size + suspected.size === 0,
		merge(request, learnt) {
			const known = get(request) ?? noSuspicion;
			const merged = mergeSuspicions(known, learnt);
			if (hasMore(merged, known)) {
				put(request, merged);
			}
		},
		blockedUntil(request) {
			const suspicion = blocked.get(request);
			return suspicion && isBlockedAt(suspicion, now()) ? blockedUntil(suspicion) : undefined;
		},
		blocked: () => [...blocked].filter(([, suspicion]) => isBlockedAt(suspicion, now())).map(([request]) => request),
	};
};
