import type {RightsObject} from './rights-object.js';

/** The write that a holder makes to the store, and the grants it may use once that write is confirmed. */
export type DrawPlan =
	/** A newer epoch has written: this host must not write. */
	| {readonly type: 'deposed'}
	| {
		readonly type: 'write';
		readonly rights: RightsObject;
		readonly grants: ReadonlyArray<{readonly budget: string; readonly granted: number}>;
		/** Budgets that the store does not have. */
		readonly unknown: readonly string[];
		/** What the store has left after this write, by budget. */
		readonly rest: ReadonlyMap<string, number>;
	};
