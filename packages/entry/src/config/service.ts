/** What the configuration says of a group of equal endpoints. */
export type Service = {
	readonly name: string;
	/** Connections that one endpoint accepts, from all hosts together. No rule uses it yet: pools stay far below it (docs/open-points.md). */
	readonly maxConnections: number;
	/** How long an endpoint warms up, in ms; 0 where it needs no time. */
	readonly warmupMs: number;
	/** Requests a second that an endpoint bears meanwhile; 0 where nothing is said of it. */
	readonly warmupPerSecond: number;
	/** The most tokens that one event of a stream may hold; 0 where the service is no model engine. */
	readonly tokensPerEvent: number;
};
