/** What is known of an endpoint's limit on the requests of all hosts together. */
export type RequestLimit = {
	/** Requests a second; `undefined` once it no longer names a limit. */
	readonly perSecond: number | undefined;
	/** When it said so, in monotonic ms of this host. */
	readonly saidAt: number;
};
