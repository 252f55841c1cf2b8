import type {EndpointRequest} from '../endpoints/endpoint-request.js';

/** What `scoreByAffinity` needs to know of a request. */
export type AffinityRequest = EndpointRequest & {
	/** Returns the prompt tokens that an endpoint is estimated to have in its prefix cache. */
	readonly cachedTokens: (endpoint: string) => number;
	/** The length of the prompt, in tokens. */
	readonly promptTokens: number;
	/** Halls in which an earlier attempt of the request could not connect to an endpoint. Their endpoints are a last resort. */
	readonly avoidedHalls: readonly string[];
};
