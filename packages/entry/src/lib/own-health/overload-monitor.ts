/** Knows whether this host keeps up with its work. */
export type OverloadMonitor = {
	/** Notes how long a connection within the hall took to come up, in ms. */
	readonly noteConnect: (tookMs: number) => void;
	readonly isOverloaded: () => boolean;
	/** Whether so many requests are open that one more is better served by another host. */
	readonly isShedding: () => boolean;
	readonly close: () => void;
};
