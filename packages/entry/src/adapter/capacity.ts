/** What a host can carry, as its operators state it. */
export type Capacity = {
	/** The rate of the host's network link in each direction, in megabits per second. Above 0. */
	readonly linkMbps: number;
};
