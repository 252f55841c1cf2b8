import type {Priority} from './priority.js';

/** What the choice of an endpoint depends on. */
export type RouteRequest = {
	/** The model or service that is asked for. */
	readonly target: string;
	/** The hall that the request came in at. */
	readonly hall: string;
	readonly priority: Priority;
	/** Wall-clock-independent time left until the deadline, as a monotonic ms instant. */
	readonly deadline: number;
	/** The part of this host's work that has been quick lately, 0 to 1. */
	readonly quickShare: number;
	/** Prompt tokens that each endpoint is believed to have cached. */
	readonly cachedTokens: (endpoint: string) => number;
	readonly promptTokens: number;
	/** The endpoint that served this session last. */
	readonly stickyTo?: string;
	/** Halls that the host cannot reach now. */
	readonly lostHalls?: ReadonlySet<string>;
	/** Halls in which this request found an endpoint out of reach: a last resort. */
	readonly avoidedHalls?: readonly string[];
	/** Endpoints that were tried already. */
	readonly tried: readonly string[];
};
