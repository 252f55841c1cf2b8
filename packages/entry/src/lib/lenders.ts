/** Asks peers for rights. */
export type Lenders = {
	/**
	Asks peers in turn until `isEnough`, those first who are believed to hold most.

	@param holders Believed holders of rights on the budget, those with most first.
	*/
	readonly borrow: (budget: string, tokens: number, holders: readonly string[], isEnough: () => boolean) => Promise<void>;
};
