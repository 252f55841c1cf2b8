import {
	unallocated, viewStore, type BudgetRights, type StoreView,
} from '@deckwheel/ledger';

/**
What a host learns of a budget from its record in the store.

Hosts that only borrow do not report, so what was lent to them counts as spent.
*/
export const viewRights = (rights: BudgetRights, holder: string, rate: number): StoreView => {
	let remaining = Math.max(0, unallocated(rights));
	for (const {granted, transferred, settled} of Object.values(rights.holders)) {
		remaining += Math.max(0, granted + transferred - settled);
	}

	return {...viewStore(rights, holder, rate), remaining};
};
