import type {Socket} from 'node:net';

/** One measurement of how long a new connection to this host waits to be accepted. */
export type AcceptProbe = {
	/** When the connection was begun, in monotonic ms. */
	readonly startedAt: number;
	/** Notes that this process accepted a connection: the probe's own or any other. */
	readonly noteAccepted: (socket: Pick<Socket, 'remotePort'>) => void;
	/** Ends the measurement without a result. */
	readonly close: () => void;
};
