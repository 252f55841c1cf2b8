/** The parts of a request that stay the same when its caller retries it, at whichever host. */
export type RequestIdentity = {
	readonly method: string;
	/** The name in the `Host` header; empty where the request has none. */
	readonly hostHeader: string;
	/** The path with its query. */
	readonly path: string;
	/** The name of the organisation whose API key the request has; `undefined` where none is known. */
	readonly organisation: string | undefined;
	readonly body: Uint8Array;
};
