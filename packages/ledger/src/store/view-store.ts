import {coarseRate} from '../lib/coarse-rate.js';
import {sumOf} from '../lib/sum-of.js';
import type {BudgetRights} from './budget-rights.js';
import type {StoreView} from './store-view.js';
import {unallocated} from './unallocated.js';

/**
What a holder learns of a budget from its record in the store.

@param rate The holder's own demand, in tokens a second.
*/
export const viewStore = (rights: BudgetRights, holder: string, rate: number): StoreView => {
	const others = Object.entries(rights.holders).filter(([name]) => name !== holder);
	const own = coarseRate(rate);
	const rates = own + sumOf(others.map(([, entry]) => entry.rate));
	const spent = sumOf(Object.values(rights.holders).map(({settled}) => settled));
	return {
		unallocated: Math.max(0, unallocated(rights)),
		remaining: Math.max(0, rights.limit - spent),
		fleetTokensPerSecond: rates,
		demandShare: rates === 0 ? 0 : own / rates,
	};
};
