/** An organisation, whose requests may be charged to a prepaid budget. */
export type Organisation = {
	readonly name: string;
	/** All tokens that the organisation has ever prepaid. `undefined` for an organisation whose tokens are not counted. */
	readonly limit: number | undefined;
	/**
	The regions whose endpoints may run the organisation's requests, as far as the route allows them too; `undefined` where the
	organisation allows all regions.
	*/
	readonly allowedRegions?: readonly string[];
	/**
	The priority of the organisation's requests, 0 being the most urgent. It comes before the route's priority where endpoints are told how
	urgent a request is (`urgencyOf`); budgets are kept by the route's priority alone. `undefined` where the organisation has none.
	*/
	readonly priority: number | undefined;
};
