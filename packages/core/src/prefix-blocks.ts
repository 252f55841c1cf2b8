import {hash32} from './hash32.js';

/** Size of one block of a prefix cache, in characters of the prompt (UTF-16 code units). */
const charsPerBlock = 64;

/** Hashes a prompt's prefixes, one for each whole block, shortest first. Engines report by these hashes which prefixes they have cached. */
export const prefixBlocks = (prompt: string): readonly number[] => {
	const blockCount = Math.floor(prompt.length / charsPerBlock);
	return Array.from({length: blockCount}, (_, index) => hash32(prompt.slice(0, (index + 1) * charsPerBlock)));
};
