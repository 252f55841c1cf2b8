import type {IncomingMessage} from 'node:http';
import type {ListedEndpoint} from '../../adapter/listed-endpoint.js';
import type {TunnelTicket} from '../tunnels/tunnel-ticket.js';

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
	/** Whether somebody still waits for the request. Asked after every wait, right before it gets its connection. */
	readonly isWanted: () => boolean;
	/** Whether this host would know by now if the caller had left long ago. If not, all that has arrived is read first. */
	readonly isCallerSeen: () => boolean;
	/** Called right before the request gets its connection, with the tunnel through a peer that this is, if it is one. Up to then, no byte of it has left this host. */
	readonly onConnected: (tunnel: TunnelTicket | undefined) => void;
	/** Called with the head of a response of any status that the endpoint itself sent, not another process at its address. */
	readonly onHead: (head: IncomingMessage) => void;
	/** Aborts the attempt. */
	readonly signal: AbortSignal;
};
