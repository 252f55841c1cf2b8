/** How far one request has come at the endpoints. */
export type RequestProgress = {
	/** Endpoints that the request reached. */
	readonly arrivals: number;
	/** Tries that reached no endpoint. */
	readonly unsent: number;
	/** Runs whose outcome is not known: each may have cost its worst case. */
	readonly lostRuns: number;
	/** Identifiers of endpoints that were tried, in order. */
	readonly tried: readonly string[];
	/** Halls in which an endpoint took no connection. */
	readonly avoidedHalls: readonly string[];
	/** Whole events of a stream that the caller got, over all runs. */
	readonly events: number;
	/** The id of the last event that the caller got: where another run goes on. */
	readonly lastEventId: string | undefined;
};
