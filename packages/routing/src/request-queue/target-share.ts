/**
How the starts of one target are shared among organisations by start-time fair queuing: the organisation that is due first is served next, and
each start makes its organisation due later. Times are virtual.
*/
export type TargetShare = {
	/** The time at the target. It stands still while the target is full and an organisation that waits there is due. */
	readonly virtualTime: number;
	/** When each organisation is due next, for those that wait and those that left and would not be due yet. */
	readonly dueByOrganisation: ReadonlyMap<string, number>;
};
