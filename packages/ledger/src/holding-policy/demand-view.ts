/** What a holding policy decides from. Tokens, unless the name says otherwise. */
export type DemandView = {
	/** Tokens a second that this holder reserved lately. */
	readonly tokensPerSecond: number;
	/** Tokens a second that all holders reserved lately, as far as the store knows. */
	readonly fleetTokensPerSecond: number;
	/** What the store has left to grant. */
	readonly unallocated: number;
	/** What no holder has spent yet, as the store knows it: the rest there, and what all holders hold. */
	readonly remaining: number;
	/** This holder's part of the demand of all holders, 0 to 1. */
	readonly demandShare: number;
	/** How many holders may ask for rights on this budget: halls of `deckwheeld`, hosts on a platform. */
	readonly holders: number;
};
