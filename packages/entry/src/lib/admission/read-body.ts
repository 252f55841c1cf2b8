import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Hold} from '../held-bytes/create-hold.js';

/** Why a body could not be read. `no_room`: the host has no room for all of it. */
type BodyReadFailure = 'too_large' | 'no_room' | 'caller_left';

/** Reads the whole body of a caller's request, up to `maxBytes`, as far as its hold has room. What comes after a failure is read on, and let go. */
export const readBody = async (req: IncomingMessage, maxBytes: number, hold: Hold): Promise<Uint8Array | BodyReadFailure> => new Promise(resolve => {
	if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
		resolve('too_large');
		return;
	}

	let chunks: Uint8Array[] = [];
	let receivedBytes = 0;
	const giveUp = (failure: BodyReadFailure): void => {
		chunks = [];
		req.off('data', takeChunk);
		req.resume();
		resolve(failure);
	};

	const takeChunk = (chunk: Uint8Array): void => {
		receivedBytes += chunk.length;
		if (receivedBytes > maxBytes) {
			giveUp('too_large');
		} else if (hold.tryAdd(chunk.length)) {
			chunks.push(chunk);
		} else {
			giveUp('no_room');
		}
	};

	req.on('data', takeChunk);
	req.on('end', () => {
		resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
	});
	req.on('close', () => {
		resolve('caller_left');
	});
});
