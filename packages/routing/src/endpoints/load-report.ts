/** What an endpoint last said of its load. It lags. */
export type LoadReport = {
	/** Requests that run or wait there, from all hosts. */
	readonly total: number;
	/** This host's own requests there at the time of the report. */
	readonly ownInFlight: number;
	/** Monotonic ms at which it was received. */
	readonly receivedAt: number;
};
