import type {EndpointRequest} from '../endpoints/endpoint-request.js';
import type {Priority} from '../request-queue/priority.js';

/** What `scoreByCost` weighs. */
export type CostRequest = EndpointRequest & {
	readonly priority: Priority;
	/** The part of this host's work that has been quick lately, 0 to 1. */
	readonly quickShare: number;
	/** Prompt tokens that each endpoint is estimated to have cached. */
	readonly cachedTokens: (endpoint: string) => number;
	readonly promptTokens: number;
	/** The endpoint that served this session last. */
	readonly stickyTo?: string;
};
