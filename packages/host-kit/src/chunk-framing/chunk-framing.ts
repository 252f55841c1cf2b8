import type {ChunkPhase} from './chunk-phase.js';

/** How far the framing of a body in chunks was read. */
export type ChunkFraming = {
	readonly phase: ChunkPhase;
	/** The size of a chunk as far as it was read, and then how many bytes of its data are to come. */
	readonly size: number;
	/** How many of the bytes that were read last belong to the body; `undefined` where it goes on after them. */
	readonly end?: number | undefined;
};
