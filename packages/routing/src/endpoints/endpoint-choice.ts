/** The endpoint chosen for a request, and why. */
export type EndpointChoice = {
	readonly endpoint: string;
	/** One line of key=value pairs, for logs and `deckwheel explain`. */
	readonly reason: string;
	/** Whether the endpoint can take it now; if not, the request should wait at this host. */
	readonly hasCapacity: boolean;
};
