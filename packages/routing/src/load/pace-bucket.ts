/** Samples of an endpoint's speed that came within a short time (`stepPaceWindow`). */
export type PaceBucket = {
	/** When the first of the samples came, in monotonic ms. */
	readonly startedAt: number;
	/** Ms per event of a stream, or ms per response. */
	readonly samples: readonly number[];
};
