import type {FleetConfig} from '../../config/fleet-config.js';
import type {LoanReply} from '../lending/loan-reply.js';
import type {LoanRequest} from '../lending/loan-request.js';
import type {ReserveOutcome} from './reserve-outcome.js';

/** Owns a host's rights on budgets. Amounts are tokens. */
export type RightsManager = {
	/** Takes over the prepaid limits of a version of the configuration. */
	readonly configure: (config: FleetConfig) => void;
	/**
	Reserves tokens for the worst case of a request. If this host has too few rights, it tries to acquire some until `deadline` (monotonic ms).

	@param priority How urgent the request is, 0 the most; `undefined` if no rights are kept from it, as for a further run of a request.
	*/
	readonly reserve: (budget: string, tokens: number, deadline: number, priority?: number) => Promise<ReserveOutcome>;
	/** Ends a reservation: `used` of its tokens are spent, and the others are available again. */
	readonly settle: (budget: string, reserved: number, used: number) => void;
	/** Lends rights to the peer `to` that requests them. */
	readonly lend: (to: string, request: LoanRequest) => Promise<LoanReply>;
	/** After how many seconds the caller of a request that lacked rights should retry. */
	readonly retryAfterSeconds: () => number;
	/** The total that the peer `from` is known to have given to this host. */
	readonly receivedFrom: (budget: string, from: string) => number;
	/** Credits rights that the peer `from` lends; `total` is all that this peer ever gave to this host. */
	readonly receive: (budget: string, from: string, total: number) => void;
	/** Credits borrowed rights that the peer `from` returns; `total` is all that this peer ever gave to this host. */
	readonly takeBack: (budget: string, from: string, total: number) => void;
	/** Notes that the store was restored from an older copy, which may lack the last writes of this host. */
	readonly noteRestored: () => void;
	/** Returns all rights that are neither reserved nor spent to the store, and draws nothing from then on. A later call returns what was released since. */
	readonly retire: () => Promise<void>;
	readonly close: () => void;
};
