import type {PromptPart} from '../admission/prompt-part.js';

/**
An estimate of what is in the prefix caches of endpoints. It may be wrong; it only guides the choice.

`deckwheeld` has another (`daemon/src/lib/create-block-cache-estimate.ts`): there, engines report hashed blocks, late and
with gaps. Here callers declare the parts of a prompt, and nothing is reported.
*/
export type PrefixCacheEstimate = {
	/** Notes that a prompt was sent to an endpoint. */
	readonly noteSent: (endpoint: string, parts: readonly PromptPart[]) => void;
	/** Tokens of the prompt that the endpoint is estimated to hold. `preferred`: where every host sends such prompts first. */
	readonly cachedTokens: (endpoint: string, parts: readonly PromptPart[], preferred: string | undefined) => number;
};
