import type {IncomingMessage} from 'node:http';
import type {Hold} from '../held-bytes/create-hold.js';
import {createCollector} from '../relaying/create-collector.js';

/** Why a body could not be read. `no_room`: the host has no room for all of it. */
type BodyReadFailure = 'too_large' | 'no_room' | 'caller_left';

/** Reads the whole body of a caller's request, up to `maxBytes`, as far as its hold has room. What comes after a failure is read on, and let go. */
export const readBody = async (req: IncomingMessage, maxBytes: number, hold: Hold): Promise<Uint8Array | BodyReadFailure> => new Promise(resolve => {
	if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
		resolve('too_large');
		return;
	}

	let collector = createCollector();
	let receivedBytes = 0;
	const giveUp = (failure: BodyReadFailure): void => {
		collector = createCollector();
		req.off('data', takeChunk);
		req.resume();
		resolve(failure);
	};

	const takeChunk = (chunk: Uint8Array): void => {
		receivedBytes += chunk.length;
		if (receivedBytes > maxBytes) {
			giveUp('too_large');
		} else if (hold.tryAdd(chunk.length)) {
			collector.add(chunk);
		} else {
			giveUp('no_room');
		}
	};

	req.on('data', takeChunk);
	req.on('end', () => {
		resolve(collector.whole());
	});
	req.on('close', () => {
		resolve('caller_left');
	});
});
