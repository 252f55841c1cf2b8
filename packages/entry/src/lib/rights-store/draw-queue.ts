/** Requests that wait for a draw from the store. */
export type DrawQueue = {
	/** Waits for rights drawn for this request, until `deadline` (monotonic ms). */
	readonly draw: (budget: string, tokens: number, deadline: number) => Promise<'reserved' | 'unavailable'>;
	/** What waiting requests lack beyond what is available, in tokens. */
	readonly missing: (budget: string) => number;
};
