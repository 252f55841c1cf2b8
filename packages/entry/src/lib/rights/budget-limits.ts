/** What organisations have prepaid, by one version of the configuration. */
export type BudgetLimits = {
	readonly version: number;
	/** Prepaid tokens by budget. */
	readonly byBudget: ReadonlyMap<string, number>;
};
