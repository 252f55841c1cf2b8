/** Detects whether this host keeps up with its own work. */
export type OverloadMonitor = {
	/** Notes after how long, in ms, a connection to an endpoint of the host's own hall came up or was given up. */
	readonly noteConnect: (tookMs: number) => void;
	/** Whether this host is late with its own work, or has not recovered from that yet. */
	readonly isOverloaded: () => boolean;
	/**
	Whether more requests are open than an overloaded or recovering host keeps open, or than its memory has room for, so that another host serves a new one better.

	@param rank The rank of the new request, 0 for the most urgent ones.
	*/
	readonly isShedding: (rank: number) => boolean;
	/** What keeps the host from serving more: its memory, or whichever of its core and its link is later at present. */
	readonly cause: () => 'core' | 'link' | 'memory';
	/** As `readUpTo` of `ReadProgress`. */
	readonly readUpTo: () => number;
	readonly close: () => void;
};
