/** One sample of an endpoint's speed, as a host took it from one response. */
export type PaceSample = {
	/** The `hash32` of the id of the endpoint's incarnation. */
	readonly endpoint: number;
	/** Whether `ms` is the time of one event of a stream, or that of a whole response. */
	readonly kind: 'event' | 'response';
	readonly ms: number;
};
