import {LRUCache} from 'lru-cache';
import type {KeptOrigin} from './kept-origin.js';
import type {OriginTable} from './origin-table.js';

/** The most origins that a host keeps: a bound on memory. */
const maxOrigins = 6000;

/** The most streams of its own callers that a host remembers while no other host is told of them: a bound on memory. */
const maxOwn = 1000;

/** The shortest time to live that `lru-cache` accepts for an entry, in ms. */
const minTtlMs = 1;

/** Creates an empty table. `now` returns monotonic ms. */
export const createOriginTable = (now: () => number): OriginTable => {
	const cacheOptions = {ttl: minTtlMs, ttlResolution: 0, perf: {now}};
	const known = new LRUCache<string, KeptOrigin>({max: maxOrigins, ...cacheOptions});
	const own = new LRUCache<string, KeptOrigin>({max: maxOwn, ...cacheOptions});

	const put = (cache: typeof known, kept: KeptOrigin): void => {
		cache.set(kept.key, kept, {ttl: Math.max(minTtlMs, kept.keepUntil - now())});
	};

	const keep = (kept: KeptOrigin): void => {
		const before = known.get(kept.key);
		if (!before || before.origin.attempt <= kept.origin.attempt) {
			put(known, kept);
		}
	};

	return {
		get: key => known.get(key),
		keep,
		keepOwn(kept) {
			keep(kept);
			put(own, kept);
		},
		endOwn(key) {
			own.delete(key);
		},
		ownAt: service => [...own.values()].filter(({origin}) => origin.service === service),
	};
};
