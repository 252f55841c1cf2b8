/** What a host answers to a peer that asks for rights. */
export type LoanReply = {
	/** All that the peer was ever given on this budget, in tokens. */
	readonly total: number;
	/** Whether this host reaches the store. */
	readonly reachesStore: boolean;
};
