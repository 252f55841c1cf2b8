import type {Socket} from 'node:net';

/** Measures how long new connections of callers wait before this process accepts them. */
export type AcceptQueueMonitor = {
	/** Starts to measure, at the `ip:port` where this host listens for callers. */
	readonly start: (address: string) => void;
	/** Notes that this process accepted a connection. Returns whether that is to be closed unread: a caller's one during a surge (`isSheddingConnections`). */
	readonly accepted: (socket: Pick<Socket, 'remoteAddress' | 'remotePort'>) => boolean;
	/** How long a connection that is accepted now has waited, in ms: the longer of the last measurement and the one under way. */
	readonly waitedMs: () => number;
	/**
	The time in monotonic ms up to which every connection that came has been accepted: when the last measurement began whose connection was. Connections
	are accepted in their order.
	*/
	readonly acceptedUpTo: () => number;
	/** Whether new connections wait so long, or did a moment ago, that other hosts should accept them instead. */
	readonly isQueueLong: () => boolean;
	readonly close: () => void;
};
