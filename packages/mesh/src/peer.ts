/** Another host, and where it is reached. */
export type Peer = {
	/** The host's incarnation, once it is known. */
	readonly host: string;
	/** `ip:port` */
	readonly address: string;
};
