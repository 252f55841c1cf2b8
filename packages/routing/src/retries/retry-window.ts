/** The requests and retries of one service at this host, in the current window and the one before it. Both have the same length. */
export type RetryWindow = {
	/** When the current window began, in monotonic ms. */
	readonly startedAt: number;
	readonly requests: number;
	readonly retries: number;
	readonly previousRequests: number;
	readonly previousRetries: number;
};
