/** The load that an endpoint last reported. It lags behind the endpoint's present load. */
export type LoadReport = {
	/** Requests of all hosts that run or wait at the endpoint. */
	readonly total: number;
	/** This host's own requests in flight at the endpoint when this host received the report. */
	readonly ownInFlight: number;
	/** When this host received the report, in monotonic ms. */
	readonly receivedAt: number;
};
