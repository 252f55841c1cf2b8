/**
How far ahead a host holds rights (`holdAheadByRate` in ledger). More serves longer in a cut; less is stranded by a death
of all hosts, and a final one ends most days.
*/
export const holdAheadSettings = {
	/**
	Of what remains of a budget, for all hosts together. With 0.35 a budget with 14 s of demand left was refused after 4 s without
	the store. Requests refused on quiet days with two outages of 8 s, at 0.35, 0.5, 0.7, 0.9: 2.4, 1.2, 1.1, 0.5 of 100. A larger
	part is stranded when all hosts die: at 0.8, refused on such days 10.9 to 13.2 of 100, at 0.6 no difference beyond noise.
	*/
	shareOfRest: 0.6,
	/** Seconds of own demand. 14 s strand too much, 6 s were no better (bfafad9); 11 s tried again and reverted (7b6126a). */
	horizonSeconds: 8,
	/** Hosts without demand hold ready this part of what all hold, together. Chosen without a measurement of its own. */
	idleShare: 0.3,
} as const;
