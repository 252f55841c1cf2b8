/** How this host may use the endpoints of one service while these warm up. */
export type WarmupRules = {
	/** How long an endpoint warms up, in ms. */
	readonly warmupMs: number;
	/**
	When the last order to evacuate a hall ended, by hall, in monotonic ms. The hall's endpoints may have turned cold shortly before,
	which the list may not show yet.
	*/
	readonly reopenedAt: ReadonlyMap<string, number>;
	/** Whether this host is one of the few that may send requests to an endpoint while that endpoint is cold. */
	readonly isSender: (endpoint: string) => boolean;
};
