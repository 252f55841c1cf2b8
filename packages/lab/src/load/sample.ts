/** What one request of a load run showed. Times in ms. */
export type Sample = {
	readonly priority: 'quick' | 'slow';
	readonly isWhole: boolean;
	readonly status: number;
	/** Time to the first token. */
	readonly firstMs?: number;
	/** Mean time from one token to the next. */
	readonly betweenMs?: number;
	readonly totalMs: number;
	readonly tokens: number;
	/** When each token came, by the process's monotonic clock. */
	readonly tokenTimes: readonly number[];
};
