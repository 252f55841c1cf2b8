/** How far a host may go ahead of the pace at which a budget is spent. */
export type Pace = {
	/** What it may reserve now, in tokens. Negative after a request larger than what can be saved up. */
	readonly allowance: number;
	/** The most that can be saved up, in tokens. */
	readonly maxAllowance: number;
	/** Monotonic ms. */
	readonly updatedAt: number;
};
