/** The queue of requests that wait for a draw of rights from the store. */
export type DrawQueue = {
	/** Waits until rights were drawn for this request and reserves them. Resolves with `unavailable` if the draw brought too little, or at `deadline` (monotonic ms). */
	readonly draw: (budget: string, tokens: number, deadline: number) => Promise<'reserved' | 'unavailable'>;
	/** Tokens that the waiting requests of a budget need beyond what this host has available. */
	readonly missing: (budget: string) => number;
};
