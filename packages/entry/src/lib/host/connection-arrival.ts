/** When a connection came, in monotonic ms. */
export type ConnectionArrival = {
	/** The earliest time at which it may have come into the accept queue. */
	readonly earliestAt: number;
	/** When this process accepted it. */
	readonly acceptedAt: number;
};
