/** How the relay of a stream ended, and the position it reached. */
export type RelayEnd = {
	readonly type: 'whole' | 'broken' | 'caller_left';
	/** The id of the last event that the caller got. */
	readonly lastId: string | undefined;
	/** Whole events relayed by this run. */
	readonly count: number;
};
