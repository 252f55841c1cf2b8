/** What a host believes about the hosts in its hall. Beliefs may be false: the safety of claims and rights does not depend on `live` and `isGone`. */
export type PairView = {
	/** This host's incarnation. */
	readonly self: string;
	/** Whether this host is shutting down. */
	readonly isStopping: boolean;
	/** Incarnations that can take a role in a pair, this host's included unless it is shutting down. */
	readonly live: readonly string[];
	/** Whether an incarnation is believed to be gone, so that it is to be replaced: its host runs a newer one, or has been silent for long. */
	readonly isGone: (host: string) => boolean;
	/** Whether an incarnation is believed never to return with the ledger that it held. If the belief is false for both hosts of a pair, a new generation may serve beside the old pair. */
	readonly isLost: (host: string) => boolean;
	/** Whether this host's replica of a slot holds the ledger, so that it could become the primary. */
	readonly isSynced: (slot: number) => boolean;
	/** Whether this host is the primary of a slot and its backup holds every entry. */
	readonly isHandoverReady: (slot: number) => boolean;
};
