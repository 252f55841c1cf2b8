/** What peers replied when they were asked for a loan. What they lent is in this host's account. */
export type LoanOutcome = {
	/** Whether one of the peers replied that it draws rights for this host and reaches the store. */
	readonly hasReachedStore: boolean;
	/** Whether the peers lent what they can: all were asked in time, at least one replied, and none keeps rights for more urgent or for later requests. */
	readonly isConclusive: boolean;
};
