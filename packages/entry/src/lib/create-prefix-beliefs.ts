import {LRUCache} from 'lru-cache';
import type {PrefixBeliefs} from './prefix-beliefs.js';
import type {PromptPart} from './prompt-part.js';

/** Parts remembered for one endpoint. */
const maxParts = 2000;

const sharedParts = (parts: readonly PromptPart[]): readonly PromptPart[] => parts.slice(0, -1);

/** Creates beliefs from this host's own sends and from the home that all hosts agree on without asking. */
export const createPrefixBeliefs = (): PrefixBeliefs => {
	const byEndpoint = new Map<string, LRUCache<string, true>>();

	return {
		note(endpoint, parts) {
			const held = byEndpoint.get(endpoint) ?? new LRUCache<string, true>({max: maxParts});
			byEndpoint.set(endpoint, held);
			for (const {id} of sharedParts(parts)) {
				held.set(id, true);
			}
		},
		cachedTokens(endpoint, parts, home) {
			const held = byEndpoint.get(endpoint);
			let tokens = 0;
			for (const part of sharedParts(parts)) {
				if (endpoint !== home && !held?.has(part.id)) {
					break;
				}

				tokens += part.tokens;
			}

			return tokens;
		},
		keepOnly(endpoints) {
			for (const endpoint of byEndpoint.keys()) {
				if (!endpoints.has(endpoint)) {
					byEndpoint.delete(endpoint);
				}
			}
		},
	};
};
