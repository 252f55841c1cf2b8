/** A host that suspicions of requests are exchanged with. */
export type Peer = {
	/** `ip:port` */
	readonly address: string;
	readonly hall: string;
};
