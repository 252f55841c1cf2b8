/** The HTTP server for callers. */
export type Gateway = {
	readonly port: number;
	/** Requests that are open. */
	readonly open: () => number;
	/** Takes nothing new; resolves when all open requests have ended. */
	readonly drain: () => Promise<void>;
	readonly close: () => Promise<void>;
};
