/** What an allocator replies to a client about the rest of a budget, by a fresh record of the store. */
export type ReportedLeft = {
	/** The most that can be left for further requests, in tokens. */
	readonly tokens: number;
	/** The age of the record, in ms. */
	readonly ageMs: number;
	/** The version of the configuration that states the budget's limit. */
	readonly version: number;
};
