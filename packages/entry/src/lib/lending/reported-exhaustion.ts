/** What a borrower is asked of the word of its allocators on a budget. */
export type ReportedExhaustion = {
	readonly budget: string;
	/** What a request lacks beyond the rights that this host has, in tokens. */
	readonly missing: number;
	/** The version of the configuration that this host serves by. */
	readonly version: number;
	/** Whether a pause kept this host from asking the store or its allocators. */
	readonly isSkipped: boolean;
};
