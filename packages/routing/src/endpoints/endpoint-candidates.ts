/** The endpoints of a service from which one is chosen for a request, by their identifiers. */
export type EndpointCandidates = {
	/** Endpoints that are always considered, because they probably have a part of the prompt cached or are to get it next. */
	readonly favoured: readonly string[];
	/** All endpoints of the service in the hall of this host. */
	readonly near: readonly string[];
	/** All endpoints of the service in other halls. */
	readonly far: readonly string[];
};
