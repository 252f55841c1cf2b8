/** The last part of budgets, which more urgent requests get before others. */
export type LastPart = {
	/** Whether a request of this many tokens is turned away since what is left is kept for more urgent ones. `priority`: 0 is the most urgent. */
	readonly isKept: (budget: string, tokens: number, priority: number) => boolean;
	/** Notes a request that got its rights. */
	readonly note: (budget: string, priority: number, tokens: number) => void;
};
