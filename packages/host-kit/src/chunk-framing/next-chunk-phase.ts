import {ascii} from './ascii.js';
import type {ChunkPhase} from './chunk-phase.js';
import {isFieldText} from './is-field-text.js';
import {isTokenByte} from './is-token-byte.js';

const {cr, lf, colon, semicolon} = ascii;

/** Goes on after the one byte that may come. */
const after = (byte: number, expected: number, next: ChunkPhase): ChunkPhase => byte === expected ? next : 'invalid';

/** Goes on after a line's text, which ends with its CR. */
const afterText = (byte: number, phase: ChunkPhase, atEnd: ChunkPhase): ChunkPhase => {
	if (byte === cr) {
		return atEnd;
	}

	return isFieldText(byte) ? phase : 'invalid';
};

/** Goes on after a byte of a field's name. */
const afterName = (byte: number): ChunkPhase => isTokenByte(byte) ? 'trailer_name' : 'invalid';

/**
The phase after a byte that belongs to the framing of a body in chunks, other than a digit of a size. A line ends with CR and LF, never with one of them. Pure.

@param size The size of the chunk, as far as it was read.
*/
export const nextChunkPhase = (phase: ChunkPhase, size: number, byte: number): ChunkPhase => {
	switch (phase) {
		case 'size': {
			return byte === semicolon ? 'extension' : after(byte, cr, 'size_lf');
		}

		case 'extension': {
			return afterText(byte, phase, 'size_lf');
		}

		case 'size_lf': {
			return after(byte, lf, size === 0 ? 'trailer_start' : 'data');
		}

		case 'data_cr': {
			return after(byte, cr, 'data_lf');
		}

		case 'data_lf': {
			return after(byte, lf, 'size_start');
		}

		case 'trailer_start': {
			return byte === cr ? 'last_lf' : afterName(byte);
		}

		case 'trailer_name': {
			return byte === colon ? 'trailer_value' : afterName(byte);
		}

		case 'trailer_value': {
			return afterText(byte, phase, 'trailer_lf');
		}

		case 'trailer_lf': {
			return after(byte, lf, 'trailer_start');
		}

		case 'last_lf': {
			return after(byte, lf, 'whole');
		}

		default: {
			return 'invalid';
		}
	}
};
