/** How many tokens of a budget a host may reserve now, so that the budget is spread over some time: the state of a token bucket. */
export type Pace = {
	/** What the host may reserve now, in tokens. Negative after a request that was larger than the allowance. */
	readonly allowance: number;
	/** The most that the allowance can grow to, in tokens. */
	readonly maxAllowance: number;
	/** The time for which `allowance` was worked out, in monotonic ms. */
	readonly updatedAt: number;
};
