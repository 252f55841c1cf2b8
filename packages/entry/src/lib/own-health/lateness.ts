/** How late a host is. Averages over about a second, in ms. */
export type Lateness = {
	/** How late timers of this process fire: its core. */
	readonly timerMs: number;
	/** How long endpoints of its own hall take to accept a connection: its link. */
	readonly connectMs: number;
	/** Whether an average is above what begins an overload right now. */
	readonly isLate: boolean;
	/** Whether callers are better served by other hosts. */
	readonly isOverloaded: boolean;
};
