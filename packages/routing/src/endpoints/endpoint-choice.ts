/** The endpoint that was chosen for a request, and why. */
export type EndpointChoice = {
	/** The endpoint's identifier. */
	readonly endpoint: string;
	/** Why the endpoint was chosen: one line of key=value pairs, for logs and `deckwheel explain`. */
	readonly reason: string;
	/** Whether the endpoint has free capacity for the request now; if not, the request should wait in this host's request queue. */
	readonly hasCapacity: boolean;
};
