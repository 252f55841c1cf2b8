import type {LoanNeed} from './loan-need.js';

/** Borrows rights of peers, and hands back what is too much. */
export type Borrower = {
	/**
	Asks peers in turn until what is needed can be reserved, or all were asked.

	@returns Whether a peer answered that draws for this host and reaches the store.
	*/
	readonly borrow: (need: LoanNeed) => Promise<boolean>;
	/** Hands idle rights back to the allocator that this host borrows from. Resolves when it answered, or did not in time. */
	readonly handBackIdle: (budget: string) => Promise<void>;
};
