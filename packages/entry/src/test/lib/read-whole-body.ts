import type {IncomingMessage} from 'node:http';
import {holdResponseBody} from '../../lib/relaying/hold-response-body.js';

/** Reads the body of a response, however long it is; `undefined` if the connection broke before it was complete. */
export const readWholeBody = async (response: IncomingMessage): Promise<Uint8Array | undefined> => {
	const held = await holdResponseBody(response, {
		hold: {tryAdd: () => true, bytes: () => 0}, maxBytes: Number.POSITIVE_INFINITY, onChunk: () => undefined,
	});
	return held.type === 'whole' ? held.body : undefined;
};
