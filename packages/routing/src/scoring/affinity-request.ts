import type {EndpointRequest} from '../endpoints/endpoint-request.js';

/** What `scoreByAffinity` weighs. */
export type AffinityRequest = EndpointRequest & {
	/** Prompt tokens that each endpoint is estimated to have cached. */
	readonly cachedTokens: (endpoint: string) => number;
	readonly promptTokens: number;
	/** Halls in which this request found an endpoint out of reach: a last resort. */
	readonly avoidedHalls: readonly string[];
};
