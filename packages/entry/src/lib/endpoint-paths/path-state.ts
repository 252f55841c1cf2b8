/** What a host knows of its own links to a group of endpoints: those with the same services. Times are in monotonic ms. */
export type PathState = {
	/** The ids of endpoints that this host did not reach by itself although a peer did, since it last reached them. */
	readonly lost: ReadonlySet<string>;
	/** How many endpoints were found lost since this host last reached one of the group. */
	readonly lostInARow: number;
	/** Whether all endpoints of the group count as lost, also those that were not tried yet. */
	readonly isAllLost: boolean;
	/** Whether the open connections of this host to the group were found silent, and nothing came over one since. */
	readonly isSilent: boolean;
	/** When bytes last came over a connection of this host to an endpoint of the group. */
	readonly heardAt: number;
	/** Whether a probe of the group is under way. */
	readonly isProbing: boolean;
	/** The group is not probed before this time. */
	readonly nextProbeAt: number;
};
