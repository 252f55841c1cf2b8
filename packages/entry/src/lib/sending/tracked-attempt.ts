import type {TunnelTicket} from '../tunnels/tunnel-ticket.js';

/** An attempt that the monitors of halls and of this host's own links follow. */
export type TrackedAttempt = {
	/** Aborts this attempt: when the request is over, or when its way to the endpoint is cut and the request may be retried. */
	readonly signal: AbortSignal;
	/** Notes that the attempt has a connection, and the tunnel through a peer that this is, if it is one. */
	readonly noteConnected: (tunnel: TunnelTicket | undefined) => void;
	/** The tunnel that the attempt uses; `undefined` without one. */
	readonly tunnel: () => TunnelTicket | undefined;
	/** Notes that bytes came from the endpoint. */
	readonly noteHeard: () => void;
	/** Notes that the attempt has ended. */
	readonly end: () => void;
};
