/** What a request has to do with the connection that it is sent on. */
export type ConnectionUse = {
	/**
	Whether somebody still waits for the request. Asked right before it gets its socket, after every wait and once all that had arrived from its caller
	was read.
	*/
	readonly isWanted: () => boolean;
	/** Called right before the request gets its socket, with whether the connection is a tunnel through a peer. */
	readonly onConnected: (isTunnel: boolean) => void;
};
