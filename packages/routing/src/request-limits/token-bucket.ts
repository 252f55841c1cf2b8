/** The permits that a coordinator may hand out for one endpoint. One token is one permit. */
export type TokenBucket = {
	/** The tokens in the bucket at `countedAt`; may be a fraction. */
	readonly tokens: number;
	/** The rate at which the bucket fills, in tokens a second. */
	readonly perSecond: number;
	/** When `tokens` were counted, in monotonic ms. */
	readonly countedAt: number;
};
