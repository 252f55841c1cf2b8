import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';

/** The endpoint that was chosen for a request. */
export type ChosenEndpoint = {
	readonly endpoint: ListedEndpoint;
	/** Why the endpoint was chosen, as one line for the log. */
	readonly reason: string;
	/** The tokens of the prompt that the endpoint probably has to prefill; 0 for a request without a prompt. */
	readonly uncachedTokens: number;
};
