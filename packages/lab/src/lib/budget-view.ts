/** What a host's operators' interface says of a budget. */
export type BudgetView = {
	readonly role: string;
	readonly primary?: string;
	readonly granted: number;
	readonly reserved: number;
	readonly settled: number;
	readonly billed: number;
	readonly wasted: number;
	readonly available: number;
};
