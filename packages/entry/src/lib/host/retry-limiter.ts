/** Keeps repeats to a part of the requests, for each service. */
export type RetryLimiter = {
	readonly noteRequest: (service: string) => void;
	/** Whether a service may get one more repeat now; takes it if so. */
	readonly mayRetry: (service: string) => boolean;
};
