import type {EngineLoad} from './engine-load.js';
import type {EngineStream} from './engine-stream.js';

/** The streams of a stand-in for an engine. */
export type EngineStreams = {
	readonly get: (id: string) => EngineStream | undefined;
	readonly start: (stream: EngineStream) => void;
	/** Ends a stream at its caller's wish, unless it has finished. */
	readonly cancel: (stream: EngineStream) => void;
	/** Ends a stream whose connection broke. */
	readonly breakOff: (stream: EngineStream) => void;
	readonly load: () => EngineLoad;
	/** Blocks of prompts cached since, with gaps, and the number to go on from. */
	readonly cacheEventsAfter: (after: number) => {readonly next: number; readonly blocks: readonly number[]};
	/** Tokens that each stream ever started was served. */
	readonly served: () => ReadonlyArray<{readonly id: string; readonly served: number}>;
};
