import {LRUCache} from 'lru-cache';
import {charsPerToken} from './chars-per-token.js';

/** Blocks that are kept. */
const maxBlocks = 4096;

/** Characters of a block. */
const blockChars = 64;

/** Every so many-th event is left out, as engines lose some. */
const eventGap = 7;

/** The prompt cache of a stand-in for an engine. Prompts come as hashes of their blocks. */
type PromptCache = {
	/** Tokens of a prompt that are cached. */
	readonly cachedTokens: (blocks: readonly number[]) => number;
	readonly note: (blocks: readonly number[]) => void;
	/** Blocks cached since, with gaps, and the number to go on from. */
	readonly eventsAfter: (after: number) => {readonly next: number; readonly blocks: readonly number[]};
};

/** Creates an empty cache. */
export const createPromptCache = (): PromptCache => {
	const cache = new LRUCache<number, true>({max: maxBlocks});
	const events: number[] = [];
	return {
		cachedTokens: blocks => blocks.filter(block => cache.has(block)).length * (blockChars / charsPerToken),
		note(blocks) {
			for (const block of blocks.filter(entry => !cache.has(entry))) {
				cache.set(block, true);
				events.push(block);
			}
		},
		eventsAfter: after => ({
			next: events.length,
			blocks: events.slice(after).filter((_, index) => (after + index) % eventGap !== 0),
		}),
	};
};
