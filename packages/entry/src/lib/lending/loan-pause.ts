/** A source had too little of a budget, and is not tried again for some time. */
export type LoanPause = {
	/** Loans or draws in a row that did not suffice for any request. */
	readonly failures: number;
	/** Monotonic ms. */
	readonly until: number;
	/** Whether a peer that draws rights for this host reached the store then. */
	readonly hasReachedStore: boolean;
};
