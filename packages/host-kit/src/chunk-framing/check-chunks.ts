import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import type {HeadPhase} from './head-phase.js';
import {findHeadEnd} from './find-head-end.js';
import {initialChunkFraming} from './initial-chunk-framing.js';
import {invalidChunk} from './invalid-chunk.js';
import {isBodiless} from './is-bodiless.js';
import {isChunked} from './is-chunked.js';
import {stepChunkFraming} from './step-chunk-framing.js';

/**
Destroys the response to a request, with the code `INVALID_CHUNK`, where the framing of its chunks is invalid. To be called before listeners for
the response are added.

The parsers of node:http differ: some take any two bytes for the end of a chunk, and a spoiled body for a whole one. This reads the bytes of the
connection before the parser does, and a destroyed response emits nothing of what the parser makes of them: it ends with the error.
*/
export const checkChunks = (req: ClientRequest): void => {
	let headPhase: HeadPhase = 'before';
	/** The bytes that the parser is about to read, up to the response. */
	let packet: Uint8Array | undefined;
	/** Where in `packet` a head ends. */
	let headEnd: number | undefined;
	let framing = initialChunkFraming;
	let response: IncomingMessage | undefined;

	const checkBody = (bytes: Uint8Array): void => {
		framing = stepChunkFraming(framing, bytes);
		if (framing.phase === 'invalid') {
			response!.destroy(invalidChunk());
		}
	};

	const readHead = (bytes: Uint8Array, start: number): void => {
		packet = bytes;
		const {phase, end} = findHeadEnd(headPhase, bytes, start);
		headPhase = phase;
		headEnd = end;
	};

	const onData = (bytes: Uint8Array): void => {
		if (response) {
			checkBody(bytes);
		} else {
			readHead(bytes, 0);
		}
	};

	const stop = (socket: Socket): void => {
		packet = undefined;
		socket.off('data', onData);
	};

	req.once('socket', socket => {
		// The parser listens by now.
		socket.prependListener('data', onData);
		req.once('close', () => {
			stop(socket);
		});
	});
	req.on('information', () => {
		// Another head follows.
		if (packet && headEnd !== undefined) {
			headPhase = 'before';
			readHead(packet, headEnd);
		}
	});
	req.on('response', received => {
		if (isBodiless(received.statusCode!, req.method) || !isChunked(received.headers)) {
			stop(received.socket);
			return;
		}

		response = received;
		const body = headEnd === undefined ? undefined : packet?.subarray(headEnd);
		packet = undefined;
		if (body) {
			checkBody(body);
		} else {
			// The parser ended the head where this did not, so where the body begins is open.
			received.destroy(invalidChunk());
		}
	});
};
