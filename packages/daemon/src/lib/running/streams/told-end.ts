/** What an engine says of the end of a stream, in the event with `usage`. */
export type ToldEnd =
	/** The whole answer came. `served` is what the engine says it cost. */
	| {readonly type: 'finished'; readonly served: number; readonly outputTokens: number}
	/** It broke off, and the engine says what it had served. */
	| {readonly type: 'failed'; readonly served: number};
