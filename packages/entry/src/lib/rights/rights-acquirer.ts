import type {ReserveOutcome} from './reserve-outcome.js';

/** The rights that a request needs. */
type RightsNeed = {
	readonly budget: string;
	readonly tokens: number;
	/** Until when rights are looked for, in monotonic ms. */
	readonly deadline: number;
	/** How urgent the request is, 0 the most; `undefined` if no rights are kept from it. */
	readonly priority: number | undefined;
};

/** Acquires rights that this host lacks from the sources of `RightsSource`. */
export type RightsAcquirer = {
	/** Reserves rights for a request of this host, or returns why it could not. */
	readonly acquire: (need: RightsNeed) => Promise<ReserveOutcome>;
	/** Tries to make `tokens` available in this host's account, for a loan to a host that borrows from this one. */
	readonly acquireForClient: (budget: string, tokens: number) => Promise<void>;
	/** Whether a fresh record of the store shows that too little is left of a budget for a request of this many tokens. */
	readonly isExhausted: (budget: string, tokens: number) => boolean;
};
