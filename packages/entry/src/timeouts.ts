/** How long a host waits for others before it goes on without them, in ms. Tests on slow machines wait longer. */
export type Timeouts = {
	/** For an endpoint to accept a connection. */
	readonly connectMs: number;
	/** For an endpoint of another hall to accept a connection that only shows whether the hall is in reach. */
	readonly probeMs: number;
	/** For one peer's answer to a question for rights. */
	readonly peerMs: number;
	/** For the store, before peers are asked as well. */
	readonly storeMs: number;
	/** For the holders of other halls, while a client of this host waits. */
	readonly gatherMs: number;
};
