/** The key that names a request over its retries. */
export type RequestKey = {
	readonly text: string;
	/** The hall in which it is claimed, whichever hall the request comes in at. */
	readonly home: string;
	/** Wall-clock ms at which it was made, where the key tells. */
	readonly madeAt?: number;
	/** Whether a hall issued it, or the caller made it. */
	readonly isIssued: boolean;
};
