import {hash32} from './hash32.js';

/** Characters of a prompt that make one block of a prefix cache. */
const blockChars = 64;

/** Hashes of a prompt's prefixes, one for each whole block, shortest first. Engines announce what they cache by these. */
export const prefixBlocks = (prompt: string): readonly number[] => {
	const count = Math.floor(prompt.length / blockChars);
	return Array.from({length: count}, (_, index) => hash32(prompt.slice(0, (index + 1) * blockChars)));
};
