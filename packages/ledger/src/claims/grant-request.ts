/** The store confirmed a write that sets this holder's total grant. */
export type GrantRequest = {
	readonly type: 'grant';
	readonly grants: ReadonlyArray<{readonly budget: string; readonly granted: number}>;
};
