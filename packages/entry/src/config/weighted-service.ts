/** A service to which a route sends requests, and the share of the requests that the service gets. */
export type WeightedService = {
	readonly service: string;
	/** The share of the requests, relative to the weights of the other services of the route. Above 0. */
	readonly weight: number;
};
