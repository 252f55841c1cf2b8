import type {IncomingMessage} from 'node:http';

/** Writes the response of an endpoint to the caller. */
export type ResponseWriter = {
	/** Whether the head of a response to the caller has been written. */
	readonly hasBegun: () => boolean;
	/** Writes the head of a stream, unless an earlier run of the request did. */
	readonly beginStream: (response: IncomingMessage) => void;
	/** Writes the head of a response whose body is relayed as it comes, with the length that the endpoint stated, if it did. */
	readonly beginBody: (response: IncomingMessage) => void;
	/** Ends the response to the caller after the last event of a stream, or the last part of a relayed body. */
	readonly endStream: () => void;
	/** Writes a complete response, with its length. */
	readonly writeWhole: (response: IncomingMessage, body: Uint8Array) => void;
};
