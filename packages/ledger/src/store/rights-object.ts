import type {BudgetRights} from './budget-rights.js';

/** All budgets of one slot, as one object in the store: one write carries the draws of many budgets. */
export type RightsObject = {
	readonly budgets: Readonly<Record<string, BudgetRights>>;
};
