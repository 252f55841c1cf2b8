/** What one play of a day showed. Parts of what callers asked for are 0 to 1. */
export type PlayFigures = {
	readonly worth: number;
	readonly served: number;
	readonly refused: number;
	readonly failed: number;
	/** Calls to the platform's store. */
	readonly calls: number;
	/** Rules that were broken, as the play names them; empty for none. */
	readonly broken: string;
};
