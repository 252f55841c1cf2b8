/** A limit on the requests of all hosts together, as an endpoint stated it in a response to some host. */
export type RequestLimit = {
	/** Requests a second; `undefined` where the endpoint stated no limit. */
	readonly perSecond: number | undefined;
	/** When the request was sent, in monotonic ms of this host. The endpoint stated the limit after this instant. */
	readonly askedAt: number;
	/** When the response was read, in monotonic ms of this host. The endpoint stated the limit before this instant. */
	readonly readAt: number;
};
