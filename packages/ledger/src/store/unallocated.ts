import {sumOf} from '../lib/sum-of.js';
import type {BudgetRights} from './budget-rights.js';
import type {HolderRights} from './holder-rights.js';

// Tokens that endpoints served beyond the holder's rights: no grant covers these tokens, but they are spent.
const overrun = ({granted, transferred, settled}: HolderRights): number =>
	Math.max(0, settled - granted - transferred);

/** Tokens of a budget that no holder has. Negative when endpoints served more than the holders' rights. */
export const unallocated = ({limit, holders}: BudgetRights): number =>
	limit - sumOf(Object.values(holders).map(holder => holder.granted + overrun(holder)));
