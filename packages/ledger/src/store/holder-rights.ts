/** What the store records of one holder's rights on a budget. Amounts are totals in tokens, as of the holder's last write. */
export type HolderRights = {
	/** The epoch of the pair that wrote this entry last; a pair of an older epoch must not write. */
	readonly epoch: number;
	readonly granted: number;
	/** Received from other holders, less what was given to them. */
	readonly transferred: number;
	/** Tokens a second that the holder reserved recently, rounded by `coarseRate`. */
	readonly rate: number;
	readonly settled: number;
	readonly billed: number;
	/** The worst-case cost of the holder's open requests; absent when the holder does not report it. */
	readonly reserved?: number;
	/** The number of the last write among the holder's writes, and the store's era in which it was made; absent when the holder does not report it. */
	readonly written?: {readonly era: number; readonly sequence: number};
	/** In an entry that sums up ended incarnations of a host: the holders whose entries dated from an earlier era of the store, with the tokens charged for each. */
	readonly folded?: Readonly<Record<string, number>>;
};
