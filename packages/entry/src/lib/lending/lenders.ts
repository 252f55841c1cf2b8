import type {LoanQuestion} from './loan-question.js';

/** Asks peers for rights. */
export type Lenders = {
	/**
	Asks peers in turn, until it is enough or the timeouts is over.

	@returns Whether a peer answered that draws for this host and reaches the store.
	*/
	readonly borrow: (question: LoanQuestion) => Promise<boolean>;
	/** Tells a peer what this host ever gave it in total. */
	readonly handBack: (address: string, budget: string, total: number) => void;
};
