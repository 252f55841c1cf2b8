import type {ListedPeer} from '../../adapter/listed-peer.js';

/** Who draws rights from the store for this hall. */
export type Allocators = {
	/** Whether this host draws a budget's rights, for itself or for its hall. */
	readonly isAllocator: (budget: string) => boolean;
	/** Whether this host draws them ahead of demand, and does not only stand by. */
	readonly drawsAhead: (budget: string) => boolean;
	/** The other allocators of this hall, in the order in which they are asked. */
	readonly others: (budget: string) => readonly ListedPeer[];
	/** Whether a peer of this hall depends on this host for a budget. */
	readonly isClient: (holder: string, budget: string) => boolean;
};
