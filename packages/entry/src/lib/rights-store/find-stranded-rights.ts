import {ownValue} from '@deckwheel/core';
import type {RightsObject} from '@deckwheel/ledger';

/** Rights on a budget that an ended incarnation of a host held and that no host can use any more, in tokens, as of the incarnation's last write. */
type StrandedRights = {
	readonly budget: string;
	/** The name of the ended incarnation as a holder of rights. */
	readonly holder: string;
	/** Reserved for its open requests: their worst case. */
	readonly open: number;
	/** Held beyond what was reserved. */
	readonly held: number;
};

/** Finds the rights that a write strands: those of the ended incarnations that the write folds into the retired holder's entry. Pure. */
export const findStrandedRights = (before: RightsObject, after: RightsObject): readonly StrandedRights[] =>
	Object.entries(before.budgets).flatMap(([budget, {holders}]) => Object.entries(holders)
		.filter(([holder]) => ownValue(ownValue(after.budgets, budget)?.holders, holder) === undefined)
		.map(([holder, {granted, transferred, settled, reserved: open = 0}]) => ({
			budget, holder, open, held: Math.max(0, granted + transferred - settled - open),
		}))
		.filter(({open, held}) => open + held > 0));
