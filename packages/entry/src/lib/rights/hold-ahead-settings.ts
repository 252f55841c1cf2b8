/**
How far ahead a host holds rights (`holdAheadByRate` in ledger). More serves longer in a cut; less is stranded by a death
of all hosts, and a final one ends most days.
*/
export const holdAheadSettings = {
	/**
	Of what remains of a budget, for all hosts together. A smaller part is used up sooner while the store is away; a larger one is
	stranded when all hosts die.
	*/
	shareOfRest: 0.6,
	/** Seconds of own demand: longer than most outages of the store, short enough for what a death strands. */
	horizonSeconds: 8,
	/** Hosts without demand hold ready this part of what all hold, together. */
	idleShare: 0.3,
} as const;
