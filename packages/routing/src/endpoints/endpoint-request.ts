import type {WarmupRules} from './warmup-rules.js';

/** What every choice of an endpoint for a request depends on. The scoring policies extend it (`CostRequest`, `AffinityRequest`). */
export type EndpointRequest = {
	/** The model or service that the request asks for. */
	readonly target: string;
	/** The hall of the host that routes the request. */
	readonly hall: string;
	/** Halls that this host cannot reach now. This host's own hall never counts as one. */
	readonly unreachableHalls?: ReadonlySet<string>;
	/** Identifiers of the endpoints that the request has already been sent to. */
	readonly tried: readonly string[];
	/** Halls whose endpoints get no requests, by order of the operators. */
	readonly evacuatedHalls?: ReadonlySet<string>;
	/** Sets of allowed regions; the endpoint's region must be in every set. */
	readonly regions?: ReadonlyArray<readonly string[]>;
	/** The software version (`versionOf`) that began the stream that the request goes on with; `undefined` for any other request. */
	readonly version?: string;
	/** How this host may use endpoints that warm up; by default they are used like warm ones. */
	readonly warmup?: WarmupRules;
};
