/** How late a host is with its own work. The averages are moving averages over about ten samples, in ms. */
export type Lateness = {
	/** How late timers of this process fire, which shows whether its processor core keeps up. Averaged over about a second. */
	readonly timerMs: number;
	/** How long endpoints of the host's own hall take to accept a connection, which shows whether its network link keeps up. */
	readonly connectMs: number;
	/** Whether an average is at present above the bound at which overload begins. */
	readonly isLate: boolean;
	/** Whether the host is overloaded, so that other hosts serve callers better. It stays so until both averages are low again. */
	readonly isOverloaded: boolean;
};
