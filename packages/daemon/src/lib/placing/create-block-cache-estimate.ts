import {LRUCache} from 'lru-cache';
import type {BlockCacheEstimate} from './block-cache-estimate.js';

/** Blocks remembered of each endpoint: a bound on memory. */
const blocksPerEndpoint = 4096;

/** Tokens of a block: `blockChars` of `prefixBlocks` at four characters a token. */
const tokensPerBlock = 16;

/** Creates an estimate that knows of nothing yet. */
export const createBlockCacheEstimate = (): BlockCacheEstimate => {
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
