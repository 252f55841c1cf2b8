/** What an endpoint said of its limit on the requests of all hosts together. */
export type RequestLimit = {
	/** Requests a second; `undefined` where it named no limit. */
	readonly perSecond: number | undefined;
	/** It said so after this: when the request was sent, in monotonic ms of this host. */
	readonly askedAt: number;
	/** And before this: when the answer was read, in monotonic ms of this host. */
	readonly readAt: number;
};
