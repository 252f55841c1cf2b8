/** How a host of a large hall places requests by the load of endpoints, which the hosts there tell each other. */
export type PlacingSettings = {
	/** Whether it does so. Otherwise it places them by its own open requests, as hosts of small halls do. */
	readonly byExpectedTime: boolean;
	/** How many endpoints of the host's own hall are looked at for each request, drawn at random; half as many of other halls. At least 1. */
	readonly randomEndpoints: number;
	/** How many of the endpoints that all hosts prefer for a prompt's shared part are looked at. At least 1. */
	readonly prefixEndpoints: number;
};
