import {LRUCache} from 'lru-cache';
import type {PromptPart} from '../admission/prompt-part.js';
import type {PrefixCacheEstimate} from './prefix-cache-estimate.js';

/**
Parts remembered, over all endpoints. Those of endpoints that are gone give way in time. A bound on memory.
*/
const maxParts = 20_000;

const sharedParts = (parts: readonly PromptPart[]): readonly PromptPart[] => parts.slice(0, -1);

/** Creates an estimate from this host's own sends, and from the endpoint that all hosts prefer for a prompt without asking each other. */
export const createPrefixCacheEstimate = (): PrefixCacheEstimate => {
	const cachedParts = new LRUCache<string, true>({max: maxParts});
	const keyOf = (endpoint: string, part: PromptPart): string => `${endpoint}\n${part.id}`;

	return {
		noteSent(endpoint, parts) {
			for (const part of sharedParts(parts)) {
				cachedParts.set(keyOf(endpoint, part), true);
			}
		},
		cachedTokens(endpoint, parts, preferred) {
			let tokens = 0;
			for (const part of sharedParts(parts)) {
				if (endpoint !== preferred && !cachedParts.has(keyOf(endpoint, part))) {
					break;
				}

				tokens += part.tokens;
			}

			return tokens;
		},
	};
};
