/** When a request and the response to its caller got on their way. All times are monotonic ms. */
export type ResponseTiming = {
	/** When an endpoint was chosen last; `undefined` if none was. */
	readonly chosenAt?: number;
	/** When the request was last handed to a connection to an endpoint; `undefined` if it never was. */
	readonly sentAt?: number;
	/** When the first byte of the response was handed to the caller's connection; `undefined` before that. */
	readonly firstAt?: number;
	/** The longest time between two successive events of a stream, in ms; `undefined` where there were not two. */
	readonly maxPauseMs?: number;
};
