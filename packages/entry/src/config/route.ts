import type {WeightedService} from './weighted-service.js';
import type {RouteKind} from './route-kind.js';

/** What the configuration says of the requests under one host name and path prefix. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKind;
	/** One of them gets each request, by weight. */
	readonly services: readonly WeightedService[];
	/** The longest time a request may be held, in ms. */
	readonly timeoutMs: number;
	/** The time within which the first byte should reach the caller, in ms. */
	readonly goalMs: number;
	/** 0 is the most urgent. No rule uses it yet (docs/open-points.md). */
	readonly priority: number;
	/** The most endpoints that one request may be sent to. */
	readonly maxAttempts: number;
	/** The regions whose endpoints may run it; `undefined` where all may. */
	readonly allowedRegions?: readonly string[];
	/** Whether a request needs no API key. */
	readonly isPublic: boolean;
	/** Whether a broken stream may be taken up at another endpoint. */
	readonly isResumable: boolean;
};
