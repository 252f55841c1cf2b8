/** What a hold-ahead policy decides from. Tokens, unless the name says otherwise. */
export type DemandView = {
	/** Tokens a second that this holder reserved lately. */
	readonly tokensPerSecond: number;
	/** What the holder may still reserve. */
	readonly available: number;
	/** What a waiting request lacks; 0 when none waits. */
	readonly missing: number;
	/** What the store has left to grant. */
	readonly unallocated: number;
	/** What no holder has spent yet, as the store knows it: the rest there, and what all holders hold. */
	readonly remaining: number;
	/** This holder's part of the demand of all holders, 0 to 1. */
	readonly demandShare: number;
	/** How many halls may ask for rights on this budget. */
	readonly halls: number;
};
