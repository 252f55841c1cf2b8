import type {IncomingMessage} from 'node:http';

/** The most bytes of a body that are read only to keep its connection: a new one costs less than reading more. */
const maxDiscardedBytes = 64 * 1024;

/** For how long the end of such a body is waited for, in ms. */
const maxDiscardMs = 1000;

/** Reads the body of a response that nobody wants, so that its connection can be used again; closes the connection where the body is long or slow. */
export const discardBody = (response: IncomingMessage): void => {
	let bytes = 0;
	const timer = setTimeout(() => {
		response.destroy();
	}, maxDiscardMs);
	timer.unref();
	response.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes > maxDiscardedBytes) {
			response.destroy();
		}
	});
	response.on('close', () => {
		clearTimeout(timer);
	});
};
