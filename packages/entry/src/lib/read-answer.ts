import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Reads a whole answer; `undefined` when it broke off. */
export const readAnswer = async (response: IncomingMessage): Promise<Buffer | undefined> => new Promise(resolve => {
	const chunks: Buffer[] = [];
	response.on('data', (chunk: Buffer) => {
		chunks.push(chunk);
	});
	response.on('end', () => {
		resolve(response.complete ? Buffer.concat(chunks) : undefined);
	});
	response.on('close', () => {
		resolve(undefined);
	});
});
