/** An endpoint as the bundle of `deckwheeld` or the platform of an entry host lists it. */
export type EndpointInfo = {
	readonly id: string;
	readonly hall: string;
	/** The models or services that the endpoint serves. */
	readonly serves: readonly string[];
	/** Requests that the endpoint runs concurrently. */
	readonly slots: number;
	/** Whether the endpoint will shut down soon and gets no new requests. */
	readonly isLeaving: boolean;
	/** The region of the endpoint's hall; `undefined` where it is unknown. */
	readonly region?: string;
	/** The instant until which the endpoint warms up after a start or a loss of its caches, in monotonic ms; `undefined` for a warm endpoint. */
	readonly coldUntil?: number;
	/** The version of the endpoint's software; `undefined` where it is not stated. What two versions write into one stream does not fit together. */
	readonly version?: string;
};
