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
	The priority of the organisation's requests, 0 being the most urgent. It is meant to override the route's priority, but no code
	uses it yet (docs/open-points.md).
	*/
	readonly priority: number | undefined;
};
