import type {BudgetRights} from './budget-rights.js';

/** All budgets of one slot in one object of the store, so that one write can draw on many budgets. */
export type RightsObject = {
	readonly budgets: Readonly<Record<string, BudgetRights>>;
	/** Records of budgets that cannot be parsed, as they were read. No holder draws on these budgets, and a write keeps the records unchanged. */
	readonly unreadable?: Readonly<Record<string, unknown>>;
};
