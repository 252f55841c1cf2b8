import type {BudgetRights} from '@deckwheel/ledger';
import {summariseBudget} from '../rights-store/summarise-budget.js';
import {retiredHolder} from '../rights-store/retired-holder.js';

/**
Ended incarnations that left stranded at most this part of what is left of a budget, 0 to 1, are taken for planned shutdowns, which return
what the host holds, or for crashes that took a negligible amount.
*/
const negligibleStrandedPart = 0.1;

/**
Decides by the store's record of a budget whether most of the hosts that served it have crashed and stranded much of it. Pure.

A host does not know when the others started. So the decision is taken from the charges: ended incarnations must have charged more than
half of all that was ever charged. If one host of several has crashed, or hosts were shut down in turn as planned, the callers of most of
the budget have lost nothing.

@param uncommitted Tokens that are neither spent nor reserved for open requests.
*/
export const isAfterCrashes = (rights: BudgetRights, uncommitted: number): boolean => {
	const retiredEntry = rights.holders[retiredHolder];
	const {charged, stranded} = summariseBudget(rights);
	return retiredEntry !== undefined && retiredEntry.billed > charged / 2 && stranded > uncommitted * negligibleStrandedPart;
};
