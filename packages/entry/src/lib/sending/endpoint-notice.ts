/** What an endpoint says of itself in the head of an answer. */
export type EndpointNotice = {
	/** It ends before long, and wants no new request. */
	readonly isLeaving: boolean;
	/** Until when it wants no request from this host, in monotonic ms; `undefined` where it does not ask for rest. */
	readonly backoffUntil: number | undefined;
	/** Requests a second that it takes from all hosts together; `undefined` where it names no limit. */
	readonly requestLimit: number | undefined;
};
