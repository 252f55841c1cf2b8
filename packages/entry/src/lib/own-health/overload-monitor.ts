/** Detects whether this host keeps up with its own work. */
export type OverloadMonitor = {
	/** Notes after how long, in ms, a connection to an endpoint of the host's own hall came up or was given up. */
	readonly noteConnect: (tookMs: number) => void;
	/** Whether this host is late with its own work, or has not recovered from that yet. */
	readonly isOverloaded: () => boolean;
	/** Whether more requests are open than an overloaded or recovering host keeps open, so that another host serves a new one better. */
	readonly isShedding: () => boolean;
	readonly close: () => void;
};
