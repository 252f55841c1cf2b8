/** A request of an experiment. */
export type Arrival = {
	readonly id: number;
	/** Seconds from the start. */
	readonly at: number;
	readonly hall: string;
	readonly budget: string;
	readonly worstCase: number;
	/** What it will really cost. */
	readonly served: number;
	/** How long it runs, in seconds. */
	readonly seconds: number;
};
