import type {BudgetRights} from './budget-rights.js';

/** How many top-up identifiers a budget keeps. A repeated top-up that is older than these counts again. */
const maxTopUpIds = 100;

/** Adds prepaid tokens to a budget's limit. A top-up whose identifier the budget still keeps changes nothing. */
export const topUp = (rights: BudgetRights, id: string, tokens: number): BudgetRights =>
	rights.topUps.includes(id)
		? rights
		: {...rights, limit: rights.limit + tokens, topUps: [...rights.topUps, id].slice(-maxTopUpIds)};
