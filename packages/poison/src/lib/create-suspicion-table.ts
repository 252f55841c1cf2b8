import {LRUCache} from 'lru-cache';
import {blockedUntil} from './blocking/blocked-until.js';
import {mergeSuspicions} from './merge-suspicions.js';
import {noSuspicion} from './no-suspicion.js';
import type {SuspicionTable} from './suspicion-table.js';
import type {Suspicion} from './suspicion.js';

/** The most subjects that are suspected but not blocked: a bound on memory against callers that send a different request each time. */
const maxSuspected = 2000;

/** The most blocked subjects: a bound on memory. They are kept in a cache of their own, so that merely suspected subjects cannot evict them. */
const maxBlocked = 500;

/** How long a suspicion is kept after its last new entry, or after the end of the block, in ms. */
const retentionMs = 600_000;

/** The shortest time to live that `lru-cache` accepts for an entry, in ms. */
const minTtlMs = 1;

// Only new crashes and newly cleared endpoints count: a merge that merely corrects the times of known crashes is not stored.
const hasNewEntries = (merged: Suspicion, known: Suspicion): boolean =>
	[...merged.crashes.keys()].some(endpoint => !known.crashes.has(endpoint)) || [...merged.cleared].some(endpoint => !known.cleared.has(endpoint));

/**
Creates an empty table.

@param now Returns the time in monotonic ms.
*/
export const createSuspicionTable = (now: () => number): SuspicionTable => {
	const cacheOptions = {ttl: retentionMs, ttlResolution: 0, perf: {now}};
	const suspected = new LRUCache<string, Suspicion>({max: maxSuspected, ...cacheOptions});
	const blocked = new LRUCache<string, Suspicion>({max: maxBlocked, ...cacheOptions});

	const get = (subject: string): Suspicion | undefined => blocked.get(subject) ?? suspected.get(subject);

	const setSuspicion = (subject: string, suspicion: Suspicion): void => {
		const until = blockedUntil(suspicion);
		const [target, other] = until === undefined ? [suspected, blocked] : [blocked, suspected];
		other.delete(subject);
		target.set(subject, suspicion, {ttl: Math.max(minTtlMs, (until ?? now()) - now() + retentionMs)});
	};

	return {
		get,
		isEmpty: () => blocked.size + suspected.size === 0,
		merge(subject, update) {
			const known = get(subject) ?? noSuspicion;
			const merged = mergeSuspicions(known, update);
			if (hasNewEntries(merged, known)) {
				setSuspicion(subject, merged);
			}
		},
		accused: () => new Map(blocked),
	};
};
