/** How long a host waits for endpoints, peers and the store before it proceeds without them, in ms. Tests on slow machines set longer times. */
export type Timeouts = {
	/** For an endpoint to accept a connection. */
	readonly connectMs: number;
	/** For an address to accept a connection that only probes it: whether another hall is in reach, or whether an endpoint still runs. */
	readonly probeMs: number;
	/** For an endpoint to accept a connection that a peer opens for this host: less than for an own one, since it comes after that one failed. */
	readonly tunnelMs: number;
	/** For a peer's reply to a request, as for a loan of rights or a permit. */
	readonly peerMs: number;
	/** For a draw of rights from the store, before this host borrows from other holders. */
	readonly storeMs: number;
	/** For loans from other holders, while a peer that borrows from this host waits. */
	readonly gatherMs: number;
};
