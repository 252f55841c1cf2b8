import type {ReserveOutcome} from './reserve-outcome.js';

/** What a request needs. */
type RightsNeed = {
	readonly budget: string;
	readonly tokens: number;
	/** Monotonic ms. */
	readonly deadline: number;
	/** How urgent it is, 0 the most; `undefined` where nothing is kept from it. */
	readonly priority: number | undefined;
};

/** Gets rights that this host lacks, from wherever they may come. */
export type RightsAcquirer = {
	/** For a request of this host: reserves them, or tells why not. */
	readonly acquire: (need: RightsNeed) => Promise<ReserveOutcome>;
	/** For a host that borrows from this one: makes them available. */
	readonly acquireForClient: (budget: string, tokens: number) => Promise<void>;
	/** Whether a budget is known to be used up for a request of this many tokens. */
	readonly isExhausted: (budget: string, tokens: number) => boolean;
};
