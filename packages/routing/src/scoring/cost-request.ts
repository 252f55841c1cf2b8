import type {EndpointRequest} from '../endpoints/endpoint-request.js';
import type {Priority} from '../request-queue/priority.js';

/** What `scoreByCost` needs to know of a request. */
export type CostRequest = EndpointRequest & {
	readonly priority: Priority;
	/** The share of the endpoints' time that this host's quick requests have taken lately, 0 to 1. */
	readonly quickShare: number;
	/** Returns the prompt tokens that an endpoint is estimated to have in its prefix cache. */
	readonly cachedTokens: (endpoint: string) => number;
	/** The length of the prompt, in tokens. */
	readonly promptTokens: number;
	/** The endpoint that served the request's session last; `undefined` without one. */
	readonly stickyTo?: string;
};
