import type {WarmupRules} from './warmup-rules.js';

/** What every choice of an endpoint depends on. Each rating asks for more (`CostRequest`, `AffinityRequest`). */
export type EndpointRequest = {
	/** The model or service that is asked for. */
	readonly target: string;
	/** The hall that the request came in at. */
	readonly hall: string;
	/** Halls that the host cannot reach now. */
	readonly unreachableHalls?: ReadonlySet<string>;
	/** Endpoints that were tried already. */
	readonly tried: readonly string[];
	/** Halls whose endpoints are to get nothing, by order of the operators. */
	readonly evacuatedHalls?: ReadonlySet<string>;
	/** Sets of regions; the endpoint has to be in one of each set. */
	readonly regions?: ReadonlyArray<readonly string[]>;
	/** How endpoints that warm up may be used; by default as warm ones. */
	readonly warmup?: WarmupRules;
};
