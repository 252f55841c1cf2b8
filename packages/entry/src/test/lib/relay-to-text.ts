import type {IncomingMessage, ServerResponse} from 'node:http';
import {PassThrough} from 'node:stream';
import {text} from 'node:stream/consumers';
import {relayStream} from '../../lib/relaying/relay-stream.js';

/** Relays the stream of a response to a caller that reads all; resolves to how the relay ended, with what the caller got. */
export const relayToText = async (response: IncomingMessage) => {
	const caller = new PassThrough();
	const {type, count} = await relayStream(response, caller as unknown as ServerResponse, {
		lastId: undefined, resumedAfter: undefined,
		ready: Promise.resolve(),
		signal: new AbortController().signal,
		onChunk: () => undefined,
		beforeWrite: () => undefined,
		onInvalid: () => undefined,
	});
	caller.end();
	return {type, count, received: await text(caller)};
};
