/** A peer's request to borrow rights, as this host receives it. Amounts are tokens. */
export type LoanRequest = {
	readonly budget: string;
	/** What the peer wants to borrow. */
	readonly tokens: number;
	/**
	The most urgent request that waits for the loan at the peer: its priority, 0 being the most urgent, and the tokens that it needs. `undefined` if
	no rights are kept from the waiting requests for others.
	*/
	readonly rank?: {readonly priority: number; readonly tokens: number};
	/** The total that requests of the peer ever demanded on the budget. */
	readonly demanded: number;
	/** The total that the peer knows to have received from this host on the budget. */
	readonly received: number;
};
