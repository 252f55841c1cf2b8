import type {ChunkFraming} from './chunk-framing.js';
import {hexDigitOf} from './hex-digit-of.js';
import {nextChunkPhase} from './next-chunk-phase.js';

/** The base in which the sizes of chunks are written. */
const hexBase = 16;

/**
Reads the framing of a body in chunks in the next bytes of its connection: `invalid` from the first byte on that breaks it. Pure.

Data is skipped by its length, so the cost is one of chunks and not of bytes. What follows the body is ignored.
*/
export const stepChunkFraming = (framing: ChunkFraming, bytes: Uint8Array): ChunkFraming => {
	let {phase, size} = framing;
	let at = 0;
	while (at < bytes.length && phase !== 'whole' && phase !== 'invalid') {
		if (phase === 'data') {
			const skipped = Math.min(size, bytes.length - at);
			at += skipped;
			size -= skipped;
			phase = size === 0 ? 'data_cr' : 'data';
			continue;
		}

		const byte = bytes[at++]!;
		const digit = phase === 'size_start' || phase === 'size' ? hexDigitOf(byte) : -1;
		if (digit === -1) {
			phase = nextChunkPhase(phase, size, byte);
			continue;
		}

		size = (size * hexBase) + digit;
		phase = Number.isSafeInteger(size) ? 'size' : 'invalid';
	}

	return {phase, size, end: phase === 'whole' ? at : undefined};
};
