/** When the end of a caller's connection came, in monotonic ms. */
export type CallerEnd = {
	/** When this host read that the caller sends nothing more; `undefined` where it did not. */
	readonly readAt?: number;
	/** When the connection or the response was closed before the response was whole; `undefined` where neither was. */
	readonly closedAt?: number;
};
