/** An endpoint that broke off a run. */
export type SuspectedEndpoint = {
	/** The id of one incarnation of the endpoint. */
	readonly id: string;
	/** `ip:port` */
	readonly address: string;
};
