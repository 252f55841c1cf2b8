/** Where a stream that may be resumed began. */
export type StreamOrigin = {
	/** The service of the endpoint. */
	readonly service: string;
	/** The version of the endpoint's software, as `versionOf` returns it. */
	readonly version: string;
	/** Counts the attempts of the request. A later one replaces an earlier one, which brought no event. */
	readonly attempt: number;
};
