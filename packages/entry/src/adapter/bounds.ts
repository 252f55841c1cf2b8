/** What the operators promise their callers and platform. */
export type Bounds = {
	/** Repeats that a service may get for each request of the window. */
	readonly retryRatio: number;
	readonly retryWindowMs: number;
	/** What an endpoint may get within a second while it warms up, from all hosts together; `undefined` where no bound is set. */
	readonly warmup?: {
		/** Times the requests a second that its service states. */
		readonly overage: number;
		/** Requests beyond that. */
		readonly slack: number;
	};
	/** How long callers wait for a request to be read before they send it elsewhere; `undefined` where that is not known. */
	readonly unreadTimeout?: {
		/** In ms. */
		readonly ms: number;
		/** Of the time that the caller has, 0 to 1. The shorter one counts. */
		readonly share: number;
	};
	/** How late an event of a stream may be passed on, in ms. */
	readonly relayMs: number;
	/** From the signal to stop until the process is killed, in ms. */
	readonly stopGraceMs: number;
};
