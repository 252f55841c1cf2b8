import type {Socket} from 'node:net';

/** One measurement of how long a new connection waits. */
export type AcceptProbe = {
	/** Monotonic ms. */
	readonly startedAt: number;
	/** Notes that a connection was taken, this one or another. */
	readonly accepted: (socket: Pick<Socket, 'remotePort'>) => void;
	readonly close: () => void;
};
