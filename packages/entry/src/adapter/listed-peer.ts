/** An entry host as the peer directory lists it for the other entry hosts. */
export type ListedPeer = {
	/** The name of this incarnation of the host as a holder of rights. */
	readonly holder: string;
	/** Where peers reach the host, as `ip:port`. */
	readonly address: string;
	readonly hall: string;
};
