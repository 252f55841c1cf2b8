/** Peers had too little to lend of a budget, and are not asked again for some time. */
export type LoanPause = {
	/** Loans in a row that did not suffice for any request. */
	readonly failures: number;
	/** Monotonic ms. */
	readonly until: number;
	/** Whether a peer that draws rights for this host reached the store then. */
	readonly hasReachedStore: boolean;
};
