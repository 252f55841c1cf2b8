/** How this host may use the endpoints of one service while they warm up. */
export type WarmupRules = {
	/** How long an endpoint warms up, in ms. */
	readonly warmupMs: number;
	/**
	When the order to evacuate a hall ended last, by hall, in monotonic ms. Endpoints there may have turned cold shortly before,
	and the list may not say so yet.
	*/
	readonly reopenedAt: ReadonlyMap<string, number>;
	/** Whether this host is one of the few that may send to an endpoint while it is cold. */
	readonly isSender: (endpoint: string) => boolean;
};
