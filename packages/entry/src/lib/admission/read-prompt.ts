import type {Prompt} from './prompt.js';
import type {PromptPart} from './prompt-part.js';

// A part without a size counts as none: parts only guide the choice of an endpoint, and never what is charged.
const readParts = (text: string | undefined): readonly PromptPart[] =>
	(text ?? '').split(',').filter(Boolean).map(part => {
		const [id, tokens] = part.split(':');
		return {id: id!, tokens: Number(tokens) || 0};
	});

/**
Reads the size of a prompt.

@param tokenCount Tokens of the prompt and the most of the answer, as `1460,80`.
@param prefix Parts in order, as `ID:TOKENS,ID:TOKENS`.
@returns `undefined` when the counts are no whole numbers of 0 or more.
*/
export const readPrompt = (tokenCount: string, prefix: string | undefined): Prompt | undefined => {
	const [inputTokens, maxOutputTokens] = tokenCount.split(',').map(Number);
	return Number.isSafeInteger(inputTokens) && Number.isSafeInteger(maxOutputTokens) && inputTokens! >= 0 && maxOutputTokens! >= 0
		? {inputTokens: inputTokens!, maxOutputTokens: maxOutputTokens!, parts: readParts(prefix)}
		: undefined;
};
