import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Why a body could not be read. */
type BodyReadFailure = 'too_large' | 'caller_left';

/** Reads the whole body of a caller's request, up to `maxBytes`. */
export const readBody = async (req: IncomingMessage, maxBytes: number): Promise<Uint8Array | BodyReadFailure> => new Promise(resolve => {
	if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
		resolve('too_large');
		return;
	}

	const chunks: Uint8Array[] = [];
	let receivedBytes = 0;
	req.on('data', (chunk: Uint8Array) => {
		receivedBytes += chunk.length;
		if (receivedBytes > maxBytes) {
			resolve('too_large');
			return;
		}

		chunks.push(chunk);
	});
	req.on('end', () => {
		resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
	});
	req.on('close', () => {
		resolve('caller_left');
	});
});
