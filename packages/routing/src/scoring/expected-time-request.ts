import type {EndpointLoad} from '../load/endpoint-load.js';
import type {AffinityRequest} from './affinity-request.js';

/** What `scoreByExpectedTime` needs to know of a request, and of the endpoints. */
export type ExpectedTimeRequest = AffinityRequest & {
	/** Returns the load of an endpoint, over all hosts as far as this host knows it. */
	readonly loadOf: (endpoint: string) => EndpointLoad;
	/** The typical duration of a response of the target, in ms; `undefined` where it is unknown. */
	readonly typicalResponseMs: number | undefined;
};
