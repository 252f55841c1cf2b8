/** One service that a route sends to, and the part of the requests it gets. */
export type WeightedService = {
	readonly service: string;
	/** Relative to the other services of the route; above 0. */
	readonly weight: number;
};
