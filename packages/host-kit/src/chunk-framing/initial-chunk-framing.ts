import type {ChunkFraming} from './chunk-framing.js';

/** The framing of a body in chunks before its first byte. */
export const initialChunkFraming: ChunkFraming = {phase: 'size_start', size: 0};
