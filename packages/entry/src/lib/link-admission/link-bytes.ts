/** Bytes that the link of this host carries in each direction. */
export type LinkBytes = {
	/** To this host: bodies of callers' requests, and the responses of endpoints. */
	readonly inBytes: number;
	/** From this host: bodies to endpoints, and the responses to callers. */
	readonly outBytes: number;
};
