import {sumOf} from '../lib/sum-of.js';
import type {BudgetRights} from './budget-rights.js';
import type {HolderRights} from './holder-rights.js';

// What endpoints served beyond the holder's rights. It is nobody's grant, but it is spent.
const overrun = ({granted, transferred, settled}: HolderRights): number =>
	Math.max(0, settled - granted - transferred);

/** Tokens of a budget that no holder has. Negative when endpoints served beyond their reservations. */
export const unallocated = ({limit, holders}: BudgetRights): number =>
	limit - sumOf(Object.values(holders).map(holder => holder.granted + overrun(holder)));
