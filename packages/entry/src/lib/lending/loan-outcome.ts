import type {ReportedLeft} from './reported-left.js';

/** What peers replied when they were asked for a loan. What they lent is in this host's account. */
export type LoanOutcome = {
	/** Whether one of the peers replied that it draws rights for this host and reaches the store. */
	readonly hasReachedStore: boolean;
	/** Whether the peers lent what they can: all were asked in time, at least one replied, and none keeps rights for more urgent or for later requests. */
	readonly isConclusive: boolean;
	/** What is left of the budget by the reply that says most; `undefined` if none says it. */
	readonly left?: ReportedLeft;
};
