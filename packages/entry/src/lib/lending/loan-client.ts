import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {BorrowOptions} from './borrow-options.js';
import type {LoanOutcome} from './loan-outcome.js';

/** The borrowing side of loans between hosts. The lending side is `createLender`. */
export type LoanClient = {
	/**
	Asks peers one after the other for rights, until this host has enough, a peer keeps what is left of the budget for more urgent or
	for later requests, or the deadline has passed.
	*/
	readonly borrow: (options: BorrowOptions) => Promise<LoanOutcome>;
	/** Asks peers that did not reply to a loan request what they lent, a few at a time. */
	readonly collect: () => Promise<void>;
	/**
	Hands rights back to a peer by telling it the total that this host ever gave to it, in tokens.

	@returns `refused` if another incarnation of the peer's host replied, which proves that the given incarnation has ended; `unknown` without
	a readable reply.
	*/
	readonly handBack: (peer: ListedPeer, budget: string, total: number) => Promise<'taken' | 'refused' | 'unknown'>;
};
