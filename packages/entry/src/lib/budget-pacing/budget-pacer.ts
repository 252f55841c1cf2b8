/**
Keeps what is left of nearly used-up budgets: for more urgent requests, and, after most hosts have crashed, also for later requests, so that
the tokens are spread over some time.
*/
export type BudgetPacer = {
	/**
	Decides whether what is left of a budget is kept from a request of this many tokens: for more urgent requests (`urgent`) or for later
	ones (`later`). `undefined`: the request may have it.

	@param priority How urgent the request is, 0 the most.
	*/
	readonly keptFor: (budget: string, tokens: number, priority: number) => 'urgent' | 'later' | undefined;
	/** Records that a request of this many tokens got its rights. */
	readonly note: (budget: string, priority: number, tokens: number) => void;
};
