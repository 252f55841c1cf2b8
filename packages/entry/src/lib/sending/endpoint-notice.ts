/** What an endpoint announces about itself in the head of a response. */
export type EndpointNotice = {
	/** Whether the endpoint is about to end and accepts no new request. */
	readonly isLeaving: boolean;
	/** When the backoff that the endpoint asked this host for ends, in monotonic ms; `undefined` if it asked for none. */
	readonly backoffUntil: number | undefined;
	/** Requests per second that the endpoint accepts from all hosts together; `undefined` if it states no limit. */
	readonly requestLimit: number | undefined;
};
