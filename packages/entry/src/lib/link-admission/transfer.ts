/** What a request is expected to bring over the link of this host. */
export type Transfer = {
	/** 0 for the most urgent requests. */
	readonly rank: number;
	/** The bytes of the request. They arrive also if the request is refused. */
	readonly requestBytes: number;
	/** The bytes of the response. */
	readonly responseBytes: number;
};
