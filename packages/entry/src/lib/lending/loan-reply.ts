import type {ReportedLeft} from './reported-left.js';

/** A host's reply to a peer's loan request. */
export type LoanReply = {
	/** All that this host ever gave to the peer on this budget, in tokens. */
	readonly total: number;
	/** Whether this host draws rights for the peer and reaches the store. If so, it lent what there is, and the peer need not draw. */
	readonly reachesStore: boolean;
	/** Whether this host keeps what is left of the budget for more urgent or for later requests. If so, the peer asks no other host. */
	readonly isKept?: boolean;
	/** What is left of the budget, if this host draws rights for the peer and has a fresh record of the store. */
	readonly left?: ReportedLeft;
};
