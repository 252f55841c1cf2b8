/** An organisation that prepaid a budget. */
export type Organisation = {
	readonly name: string;
	/** Prepaid tokens: everything ever paid in. `undefined` where nothing is counted. */
	readonly limit: number | undefined;
	/** The regions whose endpoints may run its requests, beside what the route allows; `undefined` where all may. */
	readonly allowedRegions?: readonly string[];
	/** 0 is the most urgent; comes before the route's. No rule uses it yet (docs/open-points.md). */
	readonly priority: number | undefined;
};
