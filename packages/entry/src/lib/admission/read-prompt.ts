import type {Prompt} from './prompt.js';
import type {PromptPart} from './prompt-part.js';

// A part without a size counts as 0 tokens. Parts only guide the choice of an endpoint, and never change what is charged.
const readParts = (prefixHeader: string | undefined): readonly PromptPart[] =>
	(prefixHeader ?? '').split(',').filter(Boolean).map(part => {
		const [id, tokens] = part.split(':');
		return {id: id!, tokens: Number(tokens) || 0};
	});

/**
Reads the size of a prompt from the headers of its request. Pure.

@param tokenCount The tokens of the prompt and the most tokens of the output, as `1460,80`.
@param prefix The parts of the prompt in order, as `ID:TOKENS,ID:TOKENS`.
@returns `undefined` when one of the two counts is no whole number of 0 or more.
*/
export const readPrompt = (tokenCount: string, prefix: string | undefined): Prompt | undefined => {
	const [inputTokens, maxOutputTokens] = tokenCount.split(',').map(Number);
	return Number.isSafeInteger(inputTokens) && Number.isSafeInteger(maxOutputTokens) && inputTokens! >= 0 && maxOutputTokens! >= 0
		? {inputTokens: inputTokens!, maxOutputTokens: maxOutputTokens!, parts: readParts(prefix)}
		: undefined;
};
