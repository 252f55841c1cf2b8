import {LRUCache} from 'lru-cache';
import type {PrefixBeliefs} from './prefix-beliefs.js';
import type {PromptPart} from './prompt-part.js';

/** Parts remembered, over all endpoints. Those of endpoints that are gone give way in time. */
const maxParts = 20_000;

const sharedParts = (parts: readonly PromptPart[]): readonly PromptPart[] => parts.slice(0, -1);

/** Creates beliefs from this host's own sends and from the home that all hosts agree on without asking. */
export const createPrefixBeliefs = (): PrefixBeliefs => {
	const held = new LRUCache<string, true>({max: maxParts});
	const nameOf = (endpoint: string, part: PromptPart): string => `${endpoint}\n${part.id}`;

	return {
		note(endpoint, parts) {
			for (const part of sharedParts(parts)) {
				held.set(nameOf(endpoint, part), true);
			}
		},
		cachedTokens(endpoint, parts, home) {
			let tokens = 0;
			for (const part of sharedParts(parts)) {
				if (endpoint !== home && !held.has(nameOf(endpoint, part))) {
					break;
				}

				tokens += part.tokens;
			}

			return tokens;
		},
	};
};
