/** What a host answers to a peer that asks for rights. */
export type LoanReply = {
	/** All that the peer was ever given on this budget, in tokens. */
	readonly total: number;
	/** Whether this host draws for the peer and reaches the store: then it lent what there is. */
	readonly reachesStore: boolean;
	/** Whether what is left is kept for more urgent or for later requests; others that draw for the peer are not asked then. */
	readonly isKept?: boolean;
};
