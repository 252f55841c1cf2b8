/** The task that moves rights between this host, the store and peers ahead of demand. */
export type RightsBalance = {
	/** Whether a draw may bring something now. */
	readonly mayDraw: (budget: string) => boolean;
	readonly close: () => void;
};
