/** A span of time, in seconds from the start. */
type Span = {readonly from: number; readonly to: number};

/** What happens in an experiment. */
export type Scenario = {
	readonly name: string;
	readonly seconds: number;
	/** Demand of the halls, relative to each other. */
	readonly halls: Readonly<Record<string, number>>;
	readonly hostsPerHall: number;
	readonly requestsPerSecond: number;
	/** Demand of the budgets, relative to each other. */
	readonly budgets: Readonly<Record<string, number>>;
	/** Each budget's limit, relative to what its demand will cost. */
	readonly funding: number;
	/** Times at which the halls reach neither each other nor the store. */
	readonly cuts: readonly Span[];
	/** Times at which the store is away; the halls reach each other. */
	readonly outages: readonly Span[];
	/** Hosts that die, and are replaced at once. */
	readonly deaths: ReadonlyArray<{readonly at: number; readonly hall: string; readonly host: number}>;
};
