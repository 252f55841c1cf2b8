import type {PromptPart} from './prompt-part.js';

/** What a request for a model engine says of its size. */
export type Prompt = {
	readonly inputTokens: number;
	/** The most tokens that the answer may hold. */
	readonly maxOutputTokens: number;
	readonly parts: readonly PromptPart[];
};
