import {ascii} from './ascii.js';
import type {HeadPhase} from './head-phase.js';

const {cr, lf} = ascii;

type HeadEnd = {
	readonly phase: HeadPhase;
	/** The offset of the first byte after the head; `undefined` where the head does not end in these bytes. */
	readonly end: number | undefined;
};

const nextPhase = (phase: HeadPhase, byte: number): HeadPhase => {
	if (byte === lf) {
		return phase === 'before' || phase === 'line' ? (phase === 'line' ? 'line_start' : 'before') : 'ended';
	}

	if (byte === cr && phase !== 'line_start_cr') {
		return phase === 'line_start' ? 'line_start_cr' : phase;
	}

	return 'line';
};

/** Finds in the next bytes of a connection, from `start` on, where the head of a message ends. Lines may end with an LF alone. Pure. */
export const findHeadEnd = (phase: HeadPhase, bytes: Uint8Array, start = 0): HeadEnd => {
	let current = phase;
	for (let at = start; at < bytes.length && current !== 'ended'; at++) {
		current = nextPhase(current, bytes[at]!);
		if (current === 'ended') {
			return {phase: current, end: at + 1};
		}
	}

	return {phase: current, end: undefined};
};
