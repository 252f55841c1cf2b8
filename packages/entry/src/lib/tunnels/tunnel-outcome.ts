import type {Socket} from 'node:net';
import type {TunnelTicket} from './tunnel-ticket.js';

/** What came of asking peers for a connection to an endpoint. */
export type TunnelOutcome = {
	/** The connection; `undefined` if no peer opened one. */
	readonly socket: Socket | undefined;
	/** Names the tunnel that the connection is; `undefined` without one. */
	readonly tunnel?: TunnelTicket;
	/** The least time that a question and its reply took on the way, in ms; `undefined` if no peer replied. */
	readonly linkMs: number | undefined;
	/** Whether a peer should have been asked, and none replied, or there is none. */
	readonly isSilent: boolean;
};
