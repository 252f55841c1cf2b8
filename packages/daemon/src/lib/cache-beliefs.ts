/** What this host believes of the engines' prefix caches: from its own requests, and from cache events, which are late and have gaps. */
export type CacheBeliefs = {
	readonly note: (endpoint: string, blocks: readonly number[]) => void;
	/** Prompt tokens that the endpoint is believed to have cached. */
	readonly cachedTokens: (endpoint: string, blocks: readonly number[]) => number;
};
