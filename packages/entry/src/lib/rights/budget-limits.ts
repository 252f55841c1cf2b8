/** What organisations prepaid, as one version of the configuration has it. */
export type BudgetLimits = {
	readonly version: number;
	/** Tokens by budget. */
	readonly byBudget: ReadonlyMap<string, number>;
};
