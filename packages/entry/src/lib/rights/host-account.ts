/**
A host's rights on one budget, in tokens. The host may spend what the store granted and what peers gave it, less what it gave to
peers.
*/
export type HostAccount = {
	/** What the store records as granted to this incarnation of the host. Negative after borrowed rights were returned to the store. */
	readonly granted: number;
	/** Totals ever received from peers, by the name of the holder. Totals, so that a repeated message changes nothing. */
	readonly received: ReadonlyMap<string, number>;
	/** Totals ever given to peers, by the name of the holder. */
	readonly given: ReadonlyMap<string, number>;
	/** What open requests may cost in the worst case. */
	readonly reserved: number;
	/** What ended requests have cost. */
	readonly settled: number;
	/** Tokens ever demanded by requests of this host. A total, which loan requests carry: a lender that missed one of them learns the whole demand from the next. */
	readonly demanded: number;
	/** Exponential average of the demand, in tokens per second; too low while `observedSeconds` is short (`demandRate` corrects it). */
	readonly rate: number;
	/** How long the demand has been observed, in seconds. */
	readonly observedSeconds: number;
};
