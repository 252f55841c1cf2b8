import type {BudgetRights} from './budget-rights.js';
import {sumOf} from './lib/sum-of.js';

/** Tokens of a budget that no holder has. Negative when endpoints served beyond their reservations. */
export const unallocated = (rights: BudgetRights): number =>
	rights.limit - sumOf(Object.values(rights.holders).map(({granted, settled}) => Math.max(granted, settled)));
