import {
	unallocated, viewStore, type BudgetRights, type StoreView,
} from '@deckwheel/ledger';

/**
Returns what a host learns of a budget from the budget's record in the store, in tokens.

Hosts that only borrow do not write to the store, so what was lent to them counts as spent.

@param holder The name of this incarnation of the host as a holder of rights.
@param rate This host's own demand, in tokens a second.
*/
export const viewRights = (rights: BudgetRights, holder: string, rate: number): StoreView => {
	let remaining = Math.max(0, unallocated(rights));
	for (const {granted, transferred, settled} of Object.values(rights.holders)) {
		remaining += Math.max(0, granted + transferred - settled);
	}

	return {...viewStore(rights, holder, rate), remaining};
};
