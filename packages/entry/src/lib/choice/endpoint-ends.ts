/** Takes in that endpoints have ended, ahead of the list that will lack them. */
export type EndpointEnds = {
	/**
	Notes that this host found that an endpoint has ended, and tells the peers. `misdirected`: another process has its address; `crashed`: its
	port refuses connections right after a run broke off.
	*/
	readonly noteEnded: (endpoint: string, how: 'misdirected' | 'crashed') => void;
	/** Notes that a peer reported that an endpoint has ended. */
	readonly noteReported: (endpoint: string) => void;
};
