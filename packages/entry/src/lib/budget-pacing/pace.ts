/** How far a host may go ahead of the pace at which a budget is spent. */
export type Pace = {
	/** What it may reserve now, in tokens. Negative after a request larger than what can be saved up. */
	readonly allowed: number;
	/** The most that can be saved up, in tokens. */
	readonly most: number;
	/** Monotonic ms. */
	readonly at: number;
};
