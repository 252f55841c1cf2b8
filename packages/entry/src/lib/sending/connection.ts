import type {Socket} from 'node:net';
import type {TunnelTicket} from '../tunnels/tunnel-ticket.js';

/** A connection to an endpoint, or why there is none. */
export type Connection =
	/** `tunnel`: it goes through a peer, and carries one request only, so that nothing goes on through peers once the own links are back. */
	| {readonly type: 'open'; readonly socket: Socket; readonly tunnel: TunnelTicket | undefined}
	/** `reason`: the code of the error, or `connect_timeout`. */
	| {readonly type: 'failed'; readonly reason: string};
