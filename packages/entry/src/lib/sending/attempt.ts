import type {IncomingMessage} from 'node:http';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';

/** One attempt to send a request to one endpoint. */
export type Attempt = {
	readonly endpoint: ListedEndpoint;
	/** The id of the request. A response that names another id belongs to another request. */
	readonly id: string;
	readonly method: string;
	readonly path: string;
	/** Names and values in turn, as node:http takes them. */
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	/** The deadline for a new connection, in monotonic ms. The attempt ends as `unsent` if the endpoint has not accepted one by then. */
	readonly connectBy: number;
	/** Called with the time in ms that a new connection took to come up, or after which it was given up. Not called for a reused connection. */
	readonly onConnect: (tookMs: number) => void;
	/** Called with the head of a response of any status that the endpoint itself sent, not another process at its address. */
	readonly onHead: (head: IncomingMessage) => void;
	/** Aborts the attempt. */
	readonly signal: AbortSignal;
};
