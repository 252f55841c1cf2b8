/** Limits the retries of a service to a share of its requests. */
export type RetryLimiter = {
	/** Counts a request to a service. */
	readonly noteRequest: (service: string) => void;
	/** Whether a service may get one more retry now. If so, the retry is counted. */
	readonly mayRetry: (service: string) => boolean;
};
