import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Reads the body of a response; `undefined` if the connection broke before the body was complete. */
export const readResponseBody = async (response: IncomingMessage): Promise<Uint8Array | undefined> => new Promise(resolve => {
	const chunks: Uint8Array[] = [];
	response.on('data', (chunk: Uint8Array) => {
		chunks.push(chunk);
	});
	response.on('end', () => {
		resolve(response.complete ? Buffer.concat(chunks) : undefined);
	});
	response.on('close', () => {
		resolve(undefined);
	});
});
