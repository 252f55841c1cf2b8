import {Buffer} from 'node:buffer';
import {createEventWriter} from '../../lib/relaying/create-event-writer.js';

type Options = {readonly lastId?: string | undefined; readonly resumedAfter?: string | undefined; readonly maxBytes?: number};

/** Relays the chunks of a stream, up to the first fault, to a caller that reads all. Tells what the caller got, and how far the stream was relayed. */
export const relayChunks = (chunks: Iterable<Uint8Array>, {lastId, resumedAfter, maxBytes}: Options = {}) => {
	const written: Uint8Array[] = [];
	const res = {
		write(bytes: Uint8Array) {
			written.push(bytes);
			return true;
		},
	};
	const writer = createEventWriter(res, {
		lastId, resumedAfter, maxBytes, beforeWrite: () => undefined,
	});
	let fault: string | undefined;
	for (const chunk of chunks) {
		({fault} = writer.write(chunk));
		if (fault) {
			break;
		}
	}

	return {
		text: Buffer.concat(written).toString('latin1'), fault, ...writer.progress(), isInsideEvent: writer.isInsideEvent(),
	};
};
