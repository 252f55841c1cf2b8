/** Another host, as far as it matters here. */
export type Peer = {
	/** `ip:port` */
	readonly address: string;
	readonly hall: string;
};
