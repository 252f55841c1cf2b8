import {prefillMsPerToken} from '../lib/prefill-ms-per-token.js';

type Reported = {
	/** The prompt tokens that were pending at an endpoint when a host reported them. */
	readonly tokens: number;
	/** How old the report is, in ms. */
	readonly ageMs: number;
	/** The pace of the endpoint (`EndpointLoad`). */
	readonly pace: number;
};

/**
Returns how many of some reported pending tokens an endpoint probably has still to prefill. Pure.

An endpoint prefills most prompts within the age of a report. If hosts went by the reported tokens, they would all keep away from the
endpoints that were busy then, and crowd the ones that were idle.
*/
export const remainingPromptTokens = ({tokens, ageMs, pace}: Reported): number => Math.max(0, tokens - (ageMs / (prefillMsPerToken * pace)));
