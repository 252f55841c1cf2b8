import type {WeightedService} from './weighted-service.js';
import type {RouteKind} from './route-kind.js';

/** The configuration of the requests under one HTTP host name and path prefix. */
export type Route = {
	readonly name: string;
	/** The HTTP host name that callers address. */
	readonly host: string;
	/** The start of the paths that the route serves. Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** The services that run the requests. One service is chosen for each request, by weight. */
	readonly services: readonly WeightedService[];
	/** The longest time that a request may take at a host, in ms. */
	readonly timeoutMs: number;
	/** The time within which the first byte should reach the caller, in ms. */
	readonly goalMs: number;
	/** The longest pause between two events of a stream with which it is still in time, in ms; left out where none is set. */
	readonly maxPauseMs?: number;
	/** 0 is the most urgent. Rights of a nearly used-up budget are kept for requests of more urgent routes. */
	readonly priority: number;
	/** The maximum number of endpoints to which one request may be sent. */
	readonly maxAttempts: number;
	/** The regions whose endpoints may run the requests; `undefined` where all regions may. */
	readonly allowedRegions?: readonly string[];
	/** Whether the requests need no API key. */
	readonly isPublic: boolean;
	/** Whether a broken stream may be resumed at another endpoint. */
	readonly isResumable: boolean;
};
