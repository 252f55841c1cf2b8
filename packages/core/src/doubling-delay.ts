type Inputs = {
	/** The first delay, in ms. */
	readonly firstMs: number;
	/** The longest delay, in ms. */
	readonly maxMs: number;
	/** How often the first delay is doubled, from 0 on. */
	readonly doublings: number;
};

/** Returns a delay that doubles with each failure in a row, in ms. Pure. */
export const doublingDelay = ({firstMs, maxMs, doublings}: Inputs): number => Math.min(maxMs, firstMs * (2 ** doublings));
