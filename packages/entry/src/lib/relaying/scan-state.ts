/** How far the complete events of a stream of server-sent events have been scanned. */
export type ScanState = {
	/** The id of the latest complete event that has one; `undefined` if none has. */
	readonly lastId: string | undefined;
	/** The id that the next one has to be above; `undefined` where any id may come. */
	readonly resumedAfter: string | undefined;
	/** Number of complete events. */
	readonly count: number;
};
