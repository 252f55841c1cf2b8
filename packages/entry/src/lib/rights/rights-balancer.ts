/** The task that draws rights from the store and returns surplus rights, so that a host holds what its demand calls for. */
export type RightsBalancer = {
	/** Whether a draw from the store may bring tokens now. */
	readonly mayDraw: (budget: string) => boolean;
	readonly close: () => void;
};
