import type {ListedPeer} from '../../adapter/listed-peer.js';

/** What a host borrows, and which peers it asks. */
export type BorrowOptions = {
	readonly budget: string;
	/** Tokens to borrow. */
	readonly tokens: number;
	/**
	The most urgent request that waits for the loan: its priority, 0 being the most urgent, and the tokens that it needs. `undefined` if no rights
	are kept from the waiting requests for others.
	*/
	readonly rank?: {readonly priority: number; readonly tokens: number};
	/** The total tokens that requests of this host ever demanded on the budget. */
	readonly demanded: number;
	/** In the order in which they are asked. */
	readonly peers: readonly ListedPeer[];
	/** Until when peers are asked, in monotonic ms; without it, only the timeout of each reply applies. */
	readonly deadline?: number;
	/** Whether this host has borrowed enough; checked after each reply. */
	readonly isEnough: () => boolean;
};
