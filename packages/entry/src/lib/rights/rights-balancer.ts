/** The task that draws rights from the store and returns surplus rights, so that a host holds what its demand calls for. */
export type RightsBalancer = {
	/** Whether a draw from the store may bring tokens now. */
	readonly mayDraw: (budget: string) => boolean;
	/** Whether no draw is made for some time, since recent ones showed that the store has nothing left. What it had then may have changed since. */
	readonly isStorePaused: (budget: string) => boolean;
	readonly close: () => void;
};
