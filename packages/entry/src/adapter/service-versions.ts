/** What is stored of the software versions of one service whose streams may be taken up. */
export type ServiceVersions = {
	readonly service: string;
	/** The version of each stream of the service whose origin is not stored. */
	readonly base: string;
	/** All versions that streams may have begun at, the base included. */
	readonly versions: readonly string[];
};
