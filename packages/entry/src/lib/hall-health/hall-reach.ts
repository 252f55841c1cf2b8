/** What a host knows of its path to the endpoints of another hall. Times are monotonic ms. */
export type HallReach = {
	/** Whether the hall was found out of reach. */
	readonly isLost: boolean;
	/** When bytes of an endpoint there came last. */
	readonly heardAt: number;
	/** Whether a connection there failed since. */
	readonly isDoubted: boolean;
	readonly isProbing: boolean;
	/** Not probed again before this time. */
	readonly probeAgainAt: number;
};
