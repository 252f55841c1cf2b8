/** What came of asking peers for a loan. */
export type LoanOutcome = {
	/** Whether one of the peers replied that it draws rights for this host and reaches the store. */
	readonly hasReachedStore: boolean;
	/** Whether the peers have rights to lend: `some` if they lent any, `none` if those that replied had nothing, `unknown` if none replied or one keeps what it has. */
	readonly supply: 'some' | 'none' | 'unknown';
};
