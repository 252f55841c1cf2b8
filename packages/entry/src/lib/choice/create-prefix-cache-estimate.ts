import {LRUCache} from 'lru-cache';
import type {PromptPart} from '../admission/prompt-part.js';
import type {PrefixCacheEstimate} from './prefix-cache-estimate.js';

/**
The maximum number of prompt parts that are remembered, over all endpoints together: a bound on memory. Parts of endpoints that have
shut down are evicted in time, as the least recently used ones.
*/
const maxParts = 20_000;

/** The maximum number of longest shared parts whose endpoints are remembered: a bound on memory. */
const maxLongestParts = 5000;

/** The maximum number of endpoints that are remembered for a shared part: enough to choose from, as each of them is scored for each prompt. */
const maxEndpointsPerPart = 3;

const sharedParts = (parts: readonly PromptPart[]): readonly PromptPart[] => parts.slice(0, -1);

/**
Creates an estimate. A shared part of a prompt counts as cached at the endpoints to which this host has sent a prompt with that part,
and at the endpoints that all hosts prefer for the prompt.
*/
export const createPrefixCacheEstimate = (): PrefixCacheEstimate => {
	const cachedParts = new LRUCache<string, true>({max: maxParts});
	const endpointsByPart = new LRUCache<string, readonly string[]>({max: maxLongestParts});
	const keyOf = (endpoint: string, part: PromptPart): string => `${endpoint}\n${part.id}`;

	return {
		noteSent(endpoint, parts) {
			for (const part of sharedParts(parts)) {
				cachedParts.set(keyOf(endpoint, part), true);
			}

			const longest = sharedParts(parts).at(-1)?.id;
			if (longest !== undefined) {
				const others = (endpointsByPart.get(longest) ?? []).filter(other => other !== endpoint);
				endpointsByPart.set(longest, [...others, endpoint].slice(-maxEndpointsPerPart));
			}
		},
		cachedTokens(endpoint, parts, preferred) {
			const isPreferred = preferred.includes(endpoint);
			let tokens = 0;
			for (const part of sharedParts(parts)) {
				if (!isPreferred && !cachedParts.has(keyOf(endpoint, part))) {
					break;
				}

				tokens += part.tokens;
			}

			return tokens;
		},
		endpointsWith: part => endpointsByPart.get(part) ?? [],
	};
};
