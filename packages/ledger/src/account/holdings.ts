/** The part of a map of tokens by holder that sums need: a `Map`, or a `Map` of `immutable`. */
type Transfers = {readonly values: () => Iterable<number>};

/** The amounts that decide how much a holder may still spend, in tokens. The accounts of `deckwheeld` and of the entry host both have these fields. */
export type Holdings = {
	/** What the store records as granted to this holder. */
	readonly granted: number;
	/** Tokens ever received from other holders, by holder. */
	readonly received: Transfers;
	/** Tokens ever given to other holders, by holder. */
	readonly given: Transfers;
	/** The worst-case cost of all open requests. */
	readonly reserved: number;
	/** The cost of all ended requests. */
	readonly settled: number;
};
