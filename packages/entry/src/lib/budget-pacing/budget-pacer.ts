/** The last part of budgets: more urgent requests get it before others, and after most hosts have died it is spread over some time. */
export type BudgetPacer = {
	/**
	For whom what is left is kept from a request of this many tokens: for more urgent requests, or for later ones. `undefined`: it is not.

	@param priority 0 is the most urgent.
	*/
	readonly keptFor: (budget: string, tokens: number, priority: number) => 'urgent' | 'later' | undefined;
	/** Notes a request that got its rights. */
	readonly note: (budget: string, priority: number, tokens: number) => void;
};
