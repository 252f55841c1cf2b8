/** How long a connection that is accepted now waited in the accept queue. */
export type AcceptWait = {
	/** As far as that was measured, in ms. */
	readonly waitedMs: number;
	/** The earliest time at which the connection may have come, in monotonic ms. */
	readonly earliestAt: number;
};
