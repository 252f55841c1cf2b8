import type {PromptPart} from '../admission/prompt-part.js';

/**
An estimate of which prompt parts the endpoints have in their prefix caches. It may be wrong, because it only guides the choice.

`deckwheeld` has another estimate (`daemon/src/lib/placing/create-block-cache-estimate.ts`), from the hashed blocks that engines
report, late and with gaps. On a platform, callers declare the parts of a prompt, and endpoints report nothing.
*/
export type PrefixCacheEstimate = {
	/** Notes that this host sent a prompt with these parts to an endpoint. */
	readonly noteSent: (endpoint: string, parts: readonly PromptPart[]) => void;
	/**
	Returns the tokens of a prompt that an endpoint is estimated to have in its cache. `preferred` are the endpoints that all hosts
	prefer for the prompt, if there are any.
	*/
	readonly cachedTokens: (endpoint: string, parts: readonly PromptPart[], preferred: readonly string[]) => number;
	/** Returns the endpoints to which this host lately sent prompts whose longest shared prefix ends with a part: a few, the latest one last. */
	readonly endpointsWith: (part: string) => readonly string[];
};
