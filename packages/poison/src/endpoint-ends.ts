import type {SuspectedEndpoint} from './suspected-endpoint.js';

/** Finds out whether an endpoint ended. */
export type EndpointEnds = {
	/** Whether nothing listens at the address of an endpoint any more that broke off a run a moment ago. */
	readonly hasEnded: (endpoint: SuspectedEndpoint) => Promise<boolean>;
};
