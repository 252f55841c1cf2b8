import {sumOf} from '../lib/sum-of.js';
import type {BudgetRights} from './budget-rights.js';

/** The worst case of all requests that were open at their holders when those last wrote, in tokens. */
export const openReservations = ({holders}: BudgetRights): number =>
	sumOf(Object.values(holders).map(({reserved}) => reserved ?? 0));
