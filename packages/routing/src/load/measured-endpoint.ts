/** An endpoint whose speed is known. */
export type MeasuredEndpoint<Id> = {
	readonly endpoint: Id;
	/** What the endpoint is compared within: speeds at different services say nothing of each other. */
	readonly group: string;
	/** The endpoint's typical ms per event, or per response. */
	readonly ms: number;
};
