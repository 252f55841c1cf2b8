type Inputs = {
	/** What a holding policy wants at hand. */
	readonly target: number;
	/** What the holder may still reserve. */
	readonly available: number;
	/** What waiting requests lack; 0 when none waits. */
	readonly missing: number;
};

/** Decides how many tokens a holder asks the store for: up to its target, and at least what waiting requests lack. May be negative. */
export const drawAmount = ({target, available, missing}: Inputs): number => Math.ceil(Math.max(missing, target - available));
