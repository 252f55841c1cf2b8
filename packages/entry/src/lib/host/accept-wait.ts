/** How long a connection waited in the accept queue, in ms. */
export type AcceptWait = {
	/** What it waited as far as that was measured. */
	readonly measuredMs: number;
	/** The longest that it may have waited. */
	readonly maxMs: number;
};
