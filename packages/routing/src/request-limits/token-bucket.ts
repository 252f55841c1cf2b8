/** Permits that a coordinator may hand out for one endpoint. */
export type TokenBucket = {
	readonly tokens: number;
	/** How fast it fills. */
	readonly perSecond: number;
	/** When `tokens` were counted, in monotonic ms. */
	readonly countedAt: number;
};
