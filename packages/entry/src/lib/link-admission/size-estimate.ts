/** What a host has learned about the sizes of some requests, in bytes. */
export type SizeEstimate = {
	/** The mean size of the bodies of requests. */
	readonly requestBytes: number;
	/** The mean size of what callers were sent in response, heads included. */
	readonly responseBytes: number;
	/** The number of requests that were seen. */
	readonly count: number;
};
