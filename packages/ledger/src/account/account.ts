import type {Map as ImmutableMap} from 'immutable';

/**
The rights of one holder on one budget. All amounts are tokens.

A holder is the pair of hosts that serves one slot in one hall. It may spend
`granted + received - given`, and nothing else.
*/
export type Account = {
	/** What the store records as granted to this holder. */
	readonly granted: number;
	/** Totals ever received from other holders, by holder. Totals, so that a repeated message changes nothing. */
	readonly received: ImmutableMap<string, number>;
	/** Totals ever given to other holders, by holder. */
	readonly given: ImmutableMap<string, number>;
	/** What open runs may still cost in the worst case. */
	readonly reserved: number;
	/** What ended runs cost. */
	readonly settled: number;
	/** The part of `settled` that was billed. */
	readonly billed: number;
	/** The part of `settled` charged to no bill: runs whose outcome stayed unknown, and second runs. */
	readonly wasted: number;
};
