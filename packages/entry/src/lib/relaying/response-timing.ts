/** When the response to a caller got on its way. All times are monotonic ms. */
export type ResponseTiming = {
	/** When the request was sent to the endpoint that it was sent to last; `undefined` if it was sent to none. */
	readonly sentAt?: number;
	/** When the first byte of the response was handed to the caller's connection; `undefined` before that. */
	readonly firstAt?: number;
	/** The longest time between two successive events of a stream, in ms; `undefined` where there were not two. */
	readonly maxPauseMs?: number;
};
