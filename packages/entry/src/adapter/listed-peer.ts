/** Another entry host, and where its peers reach it. */
export type ListedPeer = {
	/** The name of this life of the host, as a holder of rights. */
	readonly holder: string;
	/** `ip:port` */
	readonly address: string;
	readonly hall: string;
};
