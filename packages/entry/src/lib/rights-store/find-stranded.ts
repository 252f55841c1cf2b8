import type {RightsObject} from '@deckwheel/ledger';

/** What an ended life leaves of a budget that nobody can use any more, in tokens, as of its last write. */
type StrandedRights = {
	readonly budget: string;
	/** The name of that life. */
	readonly holder: string;
	/** Its open requests, at their most. */
	readonly open: number;
	/** What it held beyond them. */
	readonly held: number;
};

/** Finds what the lives leave charged that a write folds into one. Pure. */
export const findStranded = (before: RightsObject, after: RightsObject): readonly StrandedRights[] =>
	Object.entries(before.budgets).flatMap(([budget, {holders}]) => Object.entries(holders)
		.filter(([holder]) => after.budgets[budget]?.holders[holder] === undefined)
		.map(([holder, {granted, transferred, settled, reserved: open = 0}]) => ({
			budget, holder, open, held: Math.max(0, granted + transferred - settled - open),
		}))
		.filter(({open, held}) => open + held > 0));
