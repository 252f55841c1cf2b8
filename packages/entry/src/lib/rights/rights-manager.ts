import type {FleetConfig} from '../../config/fleet-config.js';
import type {LoanReply} from '../lending/loan-reply.js';
import type {LoanRequest} from '../lending/loan-request.js';
import type {ReserveOutcome} from './reserve-outcome.js';

/** This host's rights on budgets. */
export type RightsManager = {
	readonly configure: (config: FleetConfig) => void;
	/**
	Sets tokens aside for a request's worst case; where rights are short, looks for some until `deadline` (monotonic ms).

	@param priority How urgent it is, 0 the most; `undefined` where nothing is kept from it, as from a further run of a request.
	*/
	readonly reserve: (budget: string, tokens: number, deadline: number, priority?: number) => Promise<ReserveOutcome>;
	/** Ends a reservation: `used` of its tokens are spent, the others are free again. */
	readonly settle: (budget: string, reserved: number, used: number) => void;
	/** Gives rights to a peer that asks. */
	readonly lend: (to: string, request: LoanRequest) => Promise<LoanReply>;
	/** Seconds after which a request that lacked rights should come back. */
	readonly retryAfterSeconds: () => number;
	/** All that a peer is known to have given. */
	readonly receivedFrom: (budget: string, from: string) => number;
	/** Takes in what a peer ever gave in total. */
	readonly receive: (budget: string, from: string, total: number) => void;
	/** Takes back what a peer handed back; `total` is what it ever gave. */
	readonly takeBack: (budget: string, from: string, total: number) => void;
	/** The store came back from an older copy: what this host wrote last may be gone from it. */
	readonly noteRestored: () => void;
	/** Gives back all that is not reserved or spent, and draws nothing more. */
	readonly retire: () => Promise<void>;
	readonly close: () => void;
};
