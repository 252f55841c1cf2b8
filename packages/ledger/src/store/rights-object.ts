import type {BudgetRights} from './budget-rights.js';

/** All budgets of one slot, as one object in the store: one write carries the draws of many budgets. */
export type RightsObject = {
	readonly budgets: Readonly<Record<string, BudgetRights>>;
	/** Budgets that were found in a form that cannot be read, as they were found. Nothing is drawn from them, and a write leaves them as they are. */
	readonly unreadable?: Readonly<Record<string, unknown>>;
};
