/** What became of a request at the endpoints. */
export type RequestResult = {
	readonly outcome: 'answered' | 'not_run' | 'unknown' | 'timed_out' | 'broken' | 'caller_left';
	/** Endpoints that got the request. */
	readonly arrivals: number;
	/** Runs whose outcome is not known: each may have cost its worst case. */
	readonly lostRuns: number;
	/** Tokens handed out by the run that ended whole. */
	readonly outputTokens: number;
	/** HTTP status that the caller got from an endpoint, if any. */
	readonly status?: number;
	/** When it is worth coming back, in monotonic ms, where more is known of it than the refusal says. */
	readonly retryAt?: number;
	/** For the log: why it ended so, and where it was sent. */
	readonly reason: string;
	readonly endpoint: string;
};
