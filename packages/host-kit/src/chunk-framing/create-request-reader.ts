import type {IncomingMessage} from 'node:http';
import type {HeadPhase} from './head-phase.js';
import {findHeadEnd} from './find-head-end.js';
import {initialChunkFraming} from './initial-chunk-framing.js';
import {invalidChunk} from './invalid-chunk.js';
import {isChunked} from './is-chunked.js';
import {stepChunkFraming} from './step-chunk-framing.js';

/** Reads the requests of one connection beside the parser. */
type RequestReader = {
	/** Reads bytes right before the parser does. */
	readonly readBytes: (bytes: Uint8Array) => void;
	/** Notes the request whose head the parser has just read. */
	readonly noteRequest: (req: IncomingMessage) => void;
};

/** Creates the reader of a new connection. It destroys a request where the framing of its chunks is invalid. */
export const createRequestReader = (): RequestReader => {
	let packet: Uint8Array = new Uint8Array();
	/** Where in `packet` the bytes begin that were not read; `undefined` where all were. */
	let place: number | undefined;
	let headPhase: HeadPhase = 'before';
	/** The bytes of a body with a length that are to come. */
	let length = 0;
	let framing = initialChunkFraming;
	/** The request whose chunks are read. */
	let chunked: IncomingMessage | undefined;

	const readHead = (start: number): void => {
		const {phase, end} = findHeadEnd(headPhase, packet, start);
		headPhase = phase;
		place = end;
	};

	const readChunks = (req: IncomingMessage, start: number): void => {
		framing = stepChunkFraming(framing, packet.subarray(start));
		if (framing.phase === 'invalid') {
			req.destroy(invalidChunk());
		} else if (framing.end !== undefined) {
			chunked = undefined;
			readHead(start + framing.end);
		}
	};

	const readFrom = (start: number): void => {
		place = undefined;
		if (chunked) {
			readChunks(chunked, start);
			return;
		}

		const skipped = Math.min(length, packet.length - start);
		length -= skipped;
		readHead(start + skipped);
	};

	return {
		readBytes(bytes) {
			packet = bytes;
			readFrom(0);
		},
		noteRequest(req) {
			const start = place;
			const isInChunks = isChunked(req.headers);
			if (start === undefined) {
				// The parser ended the head where this did not, so where the body begins is open.
				if (isInChunks) {
					req.destroy(invalidChunk());
				}

				return;
			}

			headPhase = 'before';
			framing = initialChunkFraming;
			chunked = isInChunks ? req : undefined;
			length = isInChunks ? 0 : Number(req.headers['content-length'] ?? 0);
			readFrom(start);
		},
	};
};
