/** What organisations have prepaid, by one version of the configuration. */
export type BudgetLimits = {
	/** The version of that configuration; it rises with every change. */
	readonly version: number;
	/** Prepaid tokens by budget. */
	readonly byBudget: ReadonlyMap<string, number>;
};
