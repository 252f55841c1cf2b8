import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Why a body could not be read. */
type BodyProblem = 'too_large' | 'caller_left';

/** Reads a caller's body whole, up to a limit. */
export const readBody = async (req: IncomingMessage, maxBytes: number): Promise<Uint8Array | BodyProblem> => new Promise(resolve => {
	if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
		resolve('too_large');
		return;
	}

	const chunks: Uint8Array[] = [];
	let size = 0;
	req.on('data', (chunk: Uint8Array) => {
		size += chunk.length;
		if (size > maxBytes) {
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
