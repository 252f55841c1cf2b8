import {unallocated, type BudgetRights} from '@deckwheel/ledger';
import {retiredHolder} from './retired-holder.js';

/** Where the tokens of a budget are, by its record in the store. */
type BudgetSums = {
	/** Prepaid. */
	readonly limit: number;
	/** Nobody has them. Negative when endpoints served beyond their reservations. */
	readonly unallocated: number;
	/** Charged for requests that have ended. */
	readonly charged: number;
	/** Set aside for open requests, at their most. */
	readonly open: number;
	/** Held by hosts, and free to be reserved there. */
	readonly held: number;
	/** What ended lives had neither charged nor given back when they last wrote: open requests that broke, and rights that nobody can use any more. */
	readonly stranded: number;
};

/**
Sums up a budget. Pure. Hosts tell of the others as of their last writes; what was lent to hosts that do not write is in
none of the sums.
*/
export const sumUpBudget = (rights: BudgetRights): BudgetSums => {
	const sums = {
		charged: 0, open: 0, held: 0, stranded: 0,
	};
	for (const [name, {granted, transferred, settled, billed, reserved = 0}] of Object.entries(rights.holders)) {
		sums.charged += billed;
		if (name === retiredHolder) {
			sums.stranded += Math.max(0, granted + transferred - billed);
		} else {
			sums.open += reserved;
			sums.held += Math.max(0, granted + transferred - settled - reserved);
		}
	}

	return {limit: rights.limit, unallocated: unallocated(rights), ...sums};
};
