/** Reports that the store confirmed a write that sets this holder's total grants. */
export type GrantRequest = {
	readonly type: 'grant';
	/** The total tokens granted to this holder, by budget. */
	readonly grants: ReadonlyArray<{readonly budget: string; readonly granted: number}>;
};
