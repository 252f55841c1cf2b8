type Inputs = {
	/** Tokens that the holder should hold, by its holding policy. */
	readonly target: number;
	/** Tokens that the holder may still reserve. */
	readonly available: number;
	/** Tokens that waiting requests lack; 0 when no request waits. */
	readonly missing: number;
};

/** Decides how many tokens a holder asks the store for: up to its target, and at least what waiting requests lack. Negative when the holder has more than its target and no request waits. */
export const drawAmount = ({target, available, missing}: Inputs): number => Math.ceil(Math.max(missing, target - available));
