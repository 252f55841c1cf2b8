import type {LoanNeed} from './loan-need.js';
import type {ReportedExhaustion} from './reported-exhaustion.js';

/** Borrows rights from peers, and hands back rights that this host does not need. */
export type Borrower = {
	/**
	Asks peers one after the other for rights until the needed tokens can be reserved, or all peers were asked.

	@returns Whether one of the peers replied that it draws rights for this host and reaches the store.
	*/
	readonly borrow: (need: LoanNeed) => Promise<boolean>;
	/** Whether, by what an allocator replied a moment ago, too little is left of a budget. */
	readonly isExhausted: (question: ReportedExhaustion) => boolean;
	/** Takes in rights that peers lent although their replies did not arrive. */
	readonly collect: () => Promise<void>;
	/** Hands idle rights back to the allocator that this host borrows from first. Resolves when the allocator replied or the request timed out. */
	readonly handBackIdle: (budget: string) => Promise<void>;
};
