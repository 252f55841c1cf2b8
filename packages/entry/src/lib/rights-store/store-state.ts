/** Whether the store of rights is up, and when it may be called. */
export type StoreState = {
	/** Whether the last call to the store got a response; `true` before the first call. */
	readonly isUp: () => boolean;
	/** When the store came up after it was last down, in monotonic ms; minus infinity if it was never down, the present time while it is down. */
	readonly upSince: () => number;
	/** How long the store has been down, in ms; 0 while it is up. */
	readonly downMs: () => number;
	/** Whether the store may be called now: after failures there is a growing delay. */
	readonly mayCall: () => boolean;
	/** Notes whether a call to the store got a response. */
	readonly note: (hasAnswered: boolean) => void;
};
