/** What one holder knows of one budget when a holding policy decides. Amounts are in tokens. */
export type DemandView = {
	/** Tokens a second that this holder reserved recently. */
	readonly tokensPerSecond: number;
	/** Tokens a second that all holders reserved recently, as recorded in the store. */
	readonly fleetTokensPerSecond: number;
	/** Tokens that no holder has, so that the store can still grant them. */
	readonly unallocated: number;
	/** Tokens that no holder has spent, as recorded in the store: the unallocated ones, and the unspent rights of all holders. */
	readonly remaining: number;
	/** This holder's share of `fleetTokensPerSecond`, 0 to 1. */
	readonly demandShare: number;
	/** How many holders may ask for rights on this budget: halls with `deckwheeld`, hosts on a platform. */
	readonly holders: number;
};
