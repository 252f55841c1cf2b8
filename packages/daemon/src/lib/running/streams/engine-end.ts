import type {ToldEnd} from './told-end.js';

/** How a stream from an engine ended. */
export type EngineEnd =
	| ToldEnd
	/** No byte of the request can have reached the engine, or it says that it did not run it. */
	| {readonly type: 'not_run'}
	/** Contact was lost, and what it served is not known. `told`: what the engine had said of the end by then, which counts once `[DONE]` has come. */
	| {readonly type: 'lost'; readonly told?: ToldEnd | undefined}
	/** The engine has no such stream. */
	| {readonly type: 'no_such_stream'};
