/**
An estimate of the engines' prefix caches: from this host's own requests, and from cache events, which are late and have gaps.

The entry host on a platform has another (`entry/src/lib/choice/prefix-cache-estimate.ts`), from parts that callers declare.
*/
export type BlockCacheEstimate = {
	readonly note: (endpoint: string, blocks: readonly number[]) => void;
	/** Prompt tokens that the endpoint is estimated to have cached. */
	readonly cachedTokens: (endpoint: string, blocks: readonly number[]) => number;
};
