/** This host's rights on one budget, in tokens. It may spend `granted` and what peers lent it, less what it lent to them. */
export type HostAccount = {
	/** What the store records as granted to this life of the host. Falls below 0 where borrowed rights went back to the store. */
	readonly granted: number;
	/** Totals ever received from peers, by holder. Totals, so that a repeated message changes nothing. */
	readonly received: ReadonlyMap<string, number>;
	/** Totals ever given to peers, by holder. */
	readonly given: ReadonlyMap<string, number>;
	/** The worst case of open requests. */
	readonly reserved: number;
	/** What ended requests cost. */
	readonly settled: number;
	/** Tokens ever demanded by requests of this host. A total, so that a lender misses nothing that it was not told. */
	readonly demanded: number;
	/** Demand averaged over the last seconds, in tokens a second; too low as long as `observedSeconds` is short. */
	readonly rate: number;
	readonly observedSeconds: number;
};
