import type {PromptPart} from './prompt-part.js';

/** The size of a request for a model engine, as its headers state it. */
export type Prompt = {
	/** The tokens of the prompt. */
	readonly inputTokens: number;
	/** The most tokens that the output may have. */
	readonly maxOutputTokens: number;
	/** The parts of the prompt, in order. */
	readonly parts: readonly PromptPart[];
};
