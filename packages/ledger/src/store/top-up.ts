import type {BudgetRights} from './budget-rights.js';

/** How many top-up identifiers are remembered. */
const rememberedTopUps = 100;

/** Pays tokens into a budget. The same identifier again changes nothing. */
export const topUp = (rights: BudgetRights, id: string, tokens: number): BudgetRights =>
	rights.topUps.includes(id)
		? rights
		: {...rights, limit: rights.limit + tokens, topUps: [...rights.topUps, id].slice(-rememberedTopUps)};
