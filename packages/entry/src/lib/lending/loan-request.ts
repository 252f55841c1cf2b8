/** A peer's question for rights, as it arrives. Amounts are tokens. */
export type LoanRequest = {
	readonly budget: string;
	readonly tokens: number;
	/** How urgent the most urgent request is that waits for it, 0 the most, and what it needs; `undefined` where nothing is kept from it. */
	readonly rank?: {readonly priority: number; readonly tokens: number};
	/** All that requests of the asker ever demanded. */
	readonly demanded: number;
	/** All that the asker knows to have got from this host. */
	readonly received: number;
};
