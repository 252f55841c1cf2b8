import type {ReserveOutcome} from './reserve-outcome.js';

/** Gets rights that this host lacks, from wherever they may come. */
export type RightsObtainer = {
	/** For a request of this host: reserves them, or tells why not. `deadline` is monotonic ms. */
	readonly obtain: (budget: string, tokens: number, deadline: number) => Promise<ReserveOutcome>;
	/** For a host that borrows from this one: makes them available. */
	readonly obtainForClient: (budget: string, tokens: number) => Promise<void>;
};
