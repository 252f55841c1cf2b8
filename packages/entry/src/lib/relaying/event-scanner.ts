/** What has been read of a stream of server-sent events so far. */
export type EventScanner = {
	/** Bytes after the last whole event. */
	readonly rest: Uint8Array;
	/** The id of the last whole event. */
	readonly lastId: string | undefined;
	/** Whole events. */
	readonly count: number;
};
