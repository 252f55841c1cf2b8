/** What the operators promise their callers and platform. */
export type Bounds = {
	/** Repeats that a service may get for each request of the window. */
	readonly retryRatio: number;
	readonly retryWindowMs: number;
	/** How late an event of a stream may be passed on, in ms. */
	readonly relayMs: number;
	/** From the signal to stop until the process is killed, in ms. */
	readonly stopGraceMs: number;
};
