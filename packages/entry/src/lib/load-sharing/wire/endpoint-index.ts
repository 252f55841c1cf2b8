/** The listed endpoints by the hashes of their ids. */
export type EndpointIndex = {
	/** Tells whether two hosts list the same endpoints. */
	readonly digest: number;
	/** All hashes, in the same order on every host with this digest. */
	readonly hashes: readonly number[];
	readonly idOf: ReadonlyMap<number, string>;
	/** What each endpoint serves; endpoints that serve the same have the same value. */
	readonly servicesOf: ReadonlyMap<number, string>;
};
