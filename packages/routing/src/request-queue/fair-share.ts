/**
How starts are shared among the members of a group by start-time fair queuing: the member that is due first is served next, and
each start makes its member due later.
*/
export type FairShare = {
	/** The virtual time at which the member that was served last had been due. It never falls. */
	readonly virtualTime: number;
	/** The virtual time at which each member is due next. A missing member is due at `virtualTime`, and so is one whose time has passed. */
	readonly dueByMember: ReadonlyMap<string, number>;
};
