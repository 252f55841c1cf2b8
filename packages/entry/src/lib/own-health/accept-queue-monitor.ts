import type {Socket} from 'node:net';

/** Knows how long new connections of callers wait before this process takes them. */
export type AcceptQueueMonitor = {
	/** Begins to measure at a host that listens for callers at `address`, as `ip:port`. */
	readonly start: (address: string) => void;
	/** Notes that a connection was taken. */
	readonly accepted: (socket: Socket) => void;
	/** How long one that is taken now has waited, in ms. */
	readonly waitedMs: () => number;
	/** Whether they wait so long that other hosts had better take them. */
	readonly isQueueLong: () => boolean;
	readonly close: () => void;
};
