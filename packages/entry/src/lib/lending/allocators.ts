import type {ListedPeer} from '../../adapter/listed-peer.js';

/** The hosts that draw rights from the store for this hall. */
export type Allocators = {
	/** Whether this host draws a budget's rights, for itself or for its hall. */
	readonly isAllocator: (budget: string) => boolean;
	/** Whether this host draws a budget's rights ahead of demand. The standby of the first allocator of a large hall does not. */
	readonly drawsAhead: (budget: string) => boolean;
	/** Whether this host is an allocator of a hall in which other hosts borrow the budget's rights. */
	readonly hasClients: (budget: string) => boolean;
	/** The other allocators of this hall, in the order in which they are asked for rights. */
	readonly others: (budget: string) => readonly ListedPeer[];
	/** Whether a peer borrows a budget's rights from this host as one of its allocators: the peer is of this hall, and no allocator itself. */
	readonly isClient: (holder: string, budget: string) => boolean;
};
