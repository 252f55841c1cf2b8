import type {PromptPart} from './prompt-part.js';

/** What this host believes to be in the prefix caches of endpoints. Beliefs may be wrong; they only guide the choice. */
export type PrefixBeliefs = {
	/** Notes that a prompt was sent to an endpoint. */
	readonly note: (endpoint: string, parts: readonly PromptPart[]) => void;
	/** Tokens of the prompt that the endpoint is believed to hold. `home`: where every host sends such prompts first. */
	readonly cachedTokens: (endpoint: string, parts: readonly PromptPart[], home: string | undefined) => number;
};
