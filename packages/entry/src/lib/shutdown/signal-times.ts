/** The times of a signal to stop, in monotonic ms. */
export type SignalTimes = {
	/** The earliest instant at which the signal may have been sent. */
	readonly sentAfter: number;
	/** When the host began to act on it. */
	readonly noticedAt: number;
	/** The earliest instant at which the platform may kill the process. */
	readonly killedAfter: number;
};
