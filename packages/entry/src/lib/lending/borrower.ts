import type {ListedPeer} from '../../adapter/listed-peer.js';

/** Borrows rights of peers, and hands back what is too much. */
export type Borrower = {
	/**
	Asks peers in turn until `tokens` can be reserved, or all were asked.

	@param deadline Until when peers are asked, in monotonic ms; without it, each may take its time.
	@returns Whether a peer answered that draws for this host and reaches the store.
	*/
	readonly borrow: (budget: string, tokens: number, peers: readonly ListedPeer[], deadline?: number) => Promise<boolean>;
	/** Hands idle rights back to the allocator that this host borrows from. */
	readonly handBackIdle: (budget: string) => void;
};
