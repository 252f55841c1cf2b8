import type {IncomingMessage} from 'node:http';

/** Writes an endpoint's answer to the caller. */
export type ResponseWriter = {
	/** Whether the caller has got a part of an answer. */
	readonly hasBegun: () => boolean;
	/** Writes the head of a stream, unless an earlier run did. */
	readonly beginStream: (response: IncomingMessage) => void;
	readonly endStream: () => void;
	/** Writes a whole answer with its length. */
	readonly writeWhole: (response: IncomingMessage, body: Uint8Array) => void;
};
