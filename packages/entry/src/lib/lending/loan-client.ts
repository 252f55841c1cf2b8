import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {LoanQuestion} from './loan-question.js';

/** The asking side of loans between hosts. The answering side is `createLender`. */
export type LoanClient = {
	/**
	Asks peers in turn, until it is enough or the time is over.

	@returns Whether a peer answered that draws for this host and reaches the store.
	*/
	readonly borrow: (question: LoanQuestion) => Promise<boolean>;
	/** Tells a peer what this host ever gave it in total. `refused`: another life of it answered, which proves that this one has ended. */
	readonly handBack: (peer: ListedPeer, budget: string, total: number) => Promise<'taken' | 'refused' | 'unknown'>;
};
