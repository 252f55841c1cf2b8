import type {Map as ImmutableMap} from 'immutable';

/**
The rights of one holder on one budget. All amounts are in tokens.

A holder is the pair of hosts that serves one slot in one hall. It may spend
`granted + received - given`, and no more.
*/
export type Account = {
	/** What the store records as granted to this holder. */
	readonly granted: number;
	/** Tokens ever received from other holders, by holder. These are totals, so that a repeated message changes nothing. */
	readonly received: ImmutableMap<string, number>;
	/** Tokens ever given to other holders, by holder. */
	readonly given: ImmutableMap<string, number>;
	/** The worst-case cost of all open runs. */
	readonly reserved: number;
	/** The cost of all ended runs. */
	readonly settled: number;
	/** The part of `settled` that was billed. */
	readonly billed: number;
	/** The part of `settled` that is on no bill: failed runs that were not final, further runs of a billed claim, and runs whose outcome stayed unknown. */
	readonly wasted: number;
};
