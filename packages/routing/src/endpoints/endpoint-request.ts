/** What every choice of an endpoint depends on. Each rating asks for more (`CostRequest`, `AffinityRequest`). */
export type EndpointRequest = {
	/** The model or service that is asked for. */
	readonly target: string;
	/** The hall that the request came in at. */
	readonly hall: string;
	/** Halls that the host cannot reach now. */
	readonly lostHalls?: ReadonlySet<string>;
	/** Endpoints that were tried already. */
	readonly tried: readonly string[];
};
