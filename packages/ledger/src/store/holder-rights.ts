/** What the store records of one holder's part of a budget. Totals, in tokens. */
export type HolderRights = {
	/** The pair epoch that wrote this last; an older one must not write any more. */
	readonly epoch: number;
	readonly granted: number;
	/** Received from other holders, less what was given to them. */
	readonly transferred: number;
	/** Tokens a second that the holder reserved lately, roughly. */
	readonly rate: number;
	readonly settled: number;
	readonly billed: number;
	/** The worst case of the requests that were open then; absent where the holder does not tell. */
	readonly reserved?: number;
	/** Which write of the holder this is, and in which era of the store it was made; absent where the holder does not tell. */
	readonly written?: {readonly era: number; readonly sequence: number};
	/** In an entry that stands for several lives: those that were folded into it as an earlier era had left them, with what was charged for each. */
	readonly folded?: Readonly<Record<string, number>>;
};
