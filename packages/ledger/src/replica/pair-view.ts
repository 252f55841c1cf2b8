/** What a host believes of the hosts in its hall. A belief: safety does not rest on it. */
export type PairView = {
	readonly self: string;
	/** Whether this host is about to stop. */
	readonly isStopping: boolean;
	/** Incarnations that may take up new parts, this one included unless it is stopping. */
	readonly live: readonly string[];
	/** Incarnations that have not been heard of for long enough to be replaced. */
	readonly isGone: (host: string) => boolean;
	/** Incarnations that are believed never to come back with the ledger that they held. */
	readonly isLost: (host: string) => boolean;
	/** Whether this host's replica of a slot could become the primary. */
	readonly isSynced: (slot: number) => boolean;
	/** Whether this host is the primary of a slot and its backup holds everything. */
	readonly isHandoverReady: (slot: number) => boolean;
};
