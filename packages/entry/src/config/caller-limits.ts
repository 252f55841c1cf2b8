/** Limits on the size of the requests that callers send, and on the time that callers take to send them. */
export type CallerLimits = {
	readonly maxBodyBytes: number;
	/** The longest time that a caller may take to send the headers of a request, in ms. */
	readonly headerTimeoutMs: number;
	/** How long a connection may stay open without a request, in ms. */
	readonly idleTimeoutMs: number;
};
