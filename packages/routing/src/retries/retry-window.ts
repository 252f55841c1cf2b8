/** Requests and repeats of one service at this host, in two halves of a sliding window. */
export type RetryWindow = {
	/** Monotonic ms at which the newer half began. */
	readonly startedAt: number;
	readonly requests: number;
	readonly retries: number;
	readonly previousRequests: number;
	readonly previousRetries: number;
};
