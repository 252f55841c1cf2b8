/** What the bundle says of an endpoint. */
export type EndpointInfo = {
	readonly id: string;
	readonly hall: string;
	readonly serves: readonly string[];
	/** Requests that it runs side by side. */
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Where its hall is; `undefined` where nobody says. */
	readonly region?: string;
	/** Until when it warms up after a start or a loss of its caches, in monotonic ms; `undefined` once it is warm. */
	readonly coldUntil?: number;
};
