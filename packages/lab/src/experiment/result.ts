/** What an experiment measured for one policy. */
export type Result = {
	readonly scenario: string;
	readonly policy: string;
	readonly requests: number;
	readonly served: number;
	/** Tokens served beyond limits. */
	readonly overspend: number;
	/** Requests turned away although the budget allowed them. */
	readonly falseRefusals: number;
	/** The same as a share of what the budgets allowed, in percent. */
	readonly falseRefusalPercent: number;
};
