/** How callers send requests to a host and leave. */
export type ImpatientCourse = {
	readonly seed: number;
	readonly requestCount: number;
	/** The time between two requests, in ms. */
	readonly everyMs: number;
	/** The longest that a caller who leaves waits, in ms. */
	readonly patienceMs: number;
	/** The part of the callers who do not leave. */
	readonly stayingShare: number;
	/** Whether callers use their connections again. */
	readonly isConnectionKept: boolean;
};

/** What became of one request. */
export type ImpatientCall = {
	readonly id: string;
	/** The status that the caller got; 0 without a response. */
	status: number;
	/** Whether the body is the response to this request. */
	isOwn: boolean;
	isLeft: boolean;
	/** How often the request arrived at the endpoint. */
	arrivals: number;
	/** How long after its caller had left it arrived last, in ms; 0 where the caller was there. */
	lateMs: number;
};
