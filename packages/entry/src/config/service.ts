/** The configuration of a service, which is a group of interchangeable endpoints. */
export type Service = {
	readonly name: string;
	/**
	The connections that one endpoint accepts from all hosts together. No code uses it yet, because the connection pools stay far
	below it (docs/open-points.md).
	*/
	readonly maxConnections: number;
	/** The path at which an endpoint tells its health; `undefined` where the configuration names none. */
	readonly healthPath?: string | undefined;
	/** How long an endpoint warms up, in ms; 0 where endpoints need no warm-up. */
	readonly warmupMs: number;
	/** The requests a second that an endpoint can take while it warms up; 0 where the configuration states no rate. */
	readonly warmupPerSecond: number;
	/** The maximum number of tokens in one event of a stream; 0 where the service is no model engine. */
	readonly tokensPerEvent: number;
};
