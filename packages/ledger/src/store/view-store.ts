import {coarseRate} from '../lib/coarse-rate.js';
import {sumOf} from '../lib/sum-of.js';
import type {BudgetRights} from './budget-rights.js';
import type {StoreView} from './store-view.js';
import {unallocated} from './unallocated.js';

/**
Derives what a holder needs to know of a budget from the budget's record in the store.

@param holder The holder's name; its recorded rate is replaced by `rate`.
@param rate The holder's current demand, in tokens a second.
*/
export const viewStore = (rights: BudgetRights, holder: string, rate: number): StoreView => {
	const others = Object.entries(rights.holders).filter(([name]) => name !== holder);
	const ownRate = coarseRate(rate);
	const fleetRate = ownRate + sumOf(others.map(([, entry]) => entry.rate));
	const spent = sumOf(Object.values(rights.holders).map(({settled}) => settled));
	return {
		unallocated: Math.max(0, unallocated(rights)),
		remaining: Math.max(0, rights.limit - spent),
		fleetTokensPerSecond: fleetRate,
		demandShare: fleetRate === 0 ? 0 : ownRate / fleetRate,
	};
};
