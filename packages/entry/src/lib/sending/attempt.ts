import type {IncomingMessage} from 'node:http';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {ConnectionUse} from './connection-use.js';

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
	/** What the attempt has to do with its connection. Up to `onConnected`, no byte of the request has left this host. */
	readonly use: ConnectionUse;
	/** Called with the head of a response of any status that the endpoint itself sent, not another process at its address. */
	readonly onHead: (head: IncomingMessage) => void;
	/** Aborts the attempt. */
	readonly signal: AbortSignal;
};
