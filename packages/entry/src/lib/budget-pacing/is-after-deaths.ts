import type {BudgetRights} from '@deckwheel/ledger';
import {summariseBudget} from '../rights-store/summarise-budget.js';
import {retiredHolder} from '../rights-store/retired-holder.js';

/** Lives that ended with less than this part of what is left, 0 to 1, were planned stops, which give back what they hold, or took nothing to speak of. */
const strandedPart = 0.1;

/**
Decides by a budget's record whether most of the hosts that served it have died, and took much of it. Pure.

Hosts do not know how old the others are. Most of what was ever charged being charged by lives that have ended tells it: where one host
of several died, or hosts were stopped in turn as planned, callers of most of the budget have lost nothing.

@param left What is neither spent nor set aside, in tokens.
*/
export const isAfterDeaths = (rights: BudgetRights, left: number): boolean => {
	const ended = rights.holders[retiredHolder];
	const {charged, stranded} = summariseBudget(rights);
	return ended !== undefined && ended.billed > charged / 2 && stranded > left * strandedPart;
};
