import {sumOf} from '../lib/sum-of.js';
import type {BudgetRights} from './budget-rights.js';

/** The worst-case cost of all holders' open requests on a budget, in tokens, as of each holder's last write. Holders that do not report it count as 0. */
export const openReservations = ({holders}: BudgetRights): number =>
	sumOf(Object.values(holders).map(({reserved}) => reserved ?? 0));
