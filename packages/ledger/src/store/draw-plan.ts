import type {RightsObject} from './rights-object.js';

/** The write that a holder is to make to the store, and the grants that it may use once the store has confirmed that write. */
export type DrawPlan =
	/** A newer epoch of the holder's pair has written to the store: this host must not write. */
	| {readonly type: 'deposed'}
	| {
		readonly type: 'write';
		readonly rights: RightsObject;
		/** The holder's total grant after this write, in tokens, by budget. */
		readonly grants: ReadonlyArray<{readonly budget: string; readonly granted: number}>;
		/** Requested budgets that the store does not have. */
		readonly unknown: readonly string[];
		/** Unallocated tokens in the store after this write, by budget. May be negative (`unallocated`). */
		readonly rest: ReadonlyMap<string, number>;
	};
