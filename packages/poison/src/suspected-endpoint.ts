/** An endpoint that broke a run off. `id` names one life of its process. */
export type SuspectedEndpoint = {
	readonly id: string;
	/** `ip:port` */
	readonly address: string;
};
