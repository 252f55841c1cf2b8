/** How a stream from an engine ended. */
export type EngineEnd =
	/** The whole answer came. `served` is what the engine says it cost. */
	| {readonly type: 'finished'; readonly served: number; readonly outputTokens: number}
	/** It broke off, and the engine says what it had served. */
	| {readonly type: 'failed'; readonly served: number}
	/** No byte of the request can have reached the engine, or it says that it did not run it. */
	| {readonly type: 'not_run'}
	/** Contact was lost, and what it served is not known. */
	| {readonly type: 'lost'}
	/** The engine has no such stream. */
	| {readonly type: 'no_such_stream'};
