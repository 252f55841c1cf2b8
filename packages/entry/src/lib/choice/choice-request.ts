import type {PromptPart} from '../admission/prompt-part.js';

/** What a choice of an endpoint depends on. */
export type ChoiceRequest = {
	readonly service: string;
	/** The parts of its prompt, in order; none where it has no prompt. */
	readonly parts: readonly PromptPart[];
	/** Endpoints that were tried already. */
	readonly tried: readonly string[];
	/** Halls in which this request found an endpoint out of reach. */
	readonly avoidedHalls: readonly string[];
	/** Sets of regions; the endpoint has to be in one of each set. */
	readonly regions: ReadonlyArray<readonly string[]>;
};
