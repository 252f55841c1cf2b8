/** What became of a draw. */
export type DrawOutcome =
	| {readonly type: 'drawn'; readonly rest: number}
	| {readonly type: 'no_such_budget'}
	| {readonly type: 'store_away'};
