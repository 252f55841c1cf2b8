import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Reads the body of a response; `undefined` if the connection broke before the body was complete. `onChunk` gets the length of each of its parts, in bytes. */
export const readResponseBody = async (response: IncomingMessage, onChunk: (bytes: number) => void = () => undefined): Promise<Uint8Array | undefined> => new Promise(resolve => {
	// It may have closed before this function was called, and then emits no further event.
	if (response.closed) {
		resolve(undefined);
		return;
	}

	const chunks: Uint8Array[] = [];
	response.on('data', (chunk: Uint8Array) => {
		onChunk(chunk.length);
		chunks.push(chunk);
	});
	response.on('end', () => {
		resolve(response.complete ? Buffer.concat(chunks) : undefined);
	});
	response.on('close', () => {
		resolve(undefined);
	});
});
