/** How late a host is with its own work, averaged over about a second. */
export type Lateness = {
	readonly averageMs: number;
	/** Whether callers are better served by other hosts. */
	readonly isOverloaded: boolean;
};
