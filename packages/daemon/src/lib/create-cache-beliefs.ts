import {LRUCache} from 'lru-cache';
import type {CacheBeliefs} from './cache-beliefs.js';

const blocksPerEndpoint = 4096;
const tokensPerBlock = 16;

/** Creates beliefs about nothing yet. */
export const createCacheBeliefs = (): CacheBeliefs => {
	const byEndpoint = new Map<string, LRUCache<number, true>>();
	return {
		note(endpoint, blocks) {
			const known = byEndpoint.get(endpoint) ?? new LRUCache<number, true>({max: blocksPerEndpoint});
			byEndpoint.set(endpoint, known);
			for (const block of blocks) {
				known.set(block, true);
			}
		},
		cachedTokens(endpoint, blocks) {
			const known = byEndpoint.get(endpoint);
			// Events have gaps, so the longest known prefix counts, even where a shorter one is unknown.
			const longest = known ? blocks.findLastIndex(block => known.has(block)) + 1 : 0;
			return longest * tokensPerBlock;
		},
	};
};
