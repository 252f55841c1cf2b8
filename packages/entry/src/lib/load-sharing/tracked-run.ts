/** One request of this host that is open at an endpoint. */
export type TrackedRun = {
	/** Notes that a whole event of the response arrived. The first one shows that the prompt is prefilled. */
	readonly noteEvent: () => void;
	/** Notes that the request is no longer open at the endpoint. */
	readonly end: () => void;
};
