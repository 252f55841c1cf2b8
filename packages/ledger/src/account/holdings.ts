/** Amounts by the other holder, as far as sums of them are worked out: a `Map`, or one of `immutable`. */
type Transfers = {readonly values: () => Iterable<number>};

/** What decides how much a holder may still spend, in tokens. Both programs' accounts have it. */
export type Holdings = {
	/** What the store records as granted to this holder. */
	readonly granted: number;
	/** Totals ever received from other holders. */
	readonly received: Transfers;
	/** Totals ever given to other holders. */
	readonly given: Transfers;
	/** The worst case of open requests. */
	readonly reserved: number;
	/** What ended requests cost. */
	readonly settled: number;
};
