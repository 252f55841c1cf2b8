/** One request of this host that is open at an endpoint. */
export type TrackedRun = {
	/** Notes that a whole event of the response arrived. The first one shows that the prompt is prefilled. */
	readonly noteEvent: () => void;
	/**
	Notes that the request is no longer open at the endpoint.

	@param how `answered` where the endpoint served the request, and the duration of a response without events tells its speed. By default nothing is learned from the duration.
	*/
	readonly end: (how?: 'answered') => void;
};
