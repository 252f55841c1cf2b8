/**
How far ahead a host holds rights (`holdAheadByRate` in ledger). More serves longer in a cut; less is stranded by a death
of all hosts, and a final one ends most days.
*/
export const holdAheadSettings = {
	/** Of what remains of a budget, for all hosts together. 0.6 left a quarter of the largest budget with dead hosts (9d56bd2). */
	shareOfRest: 0.35,
	/** Seconds of own demand. 14 s strand too much, 6 s were no better (bfafad9); 11 s tried again and reverted (7b6126a). */
	horizonSeconds: 8,
	/** The part of `shareOfRest` that hosts without demand hold ready, together. Chosen without a measurement of its own. */
	idleShare: 0.3,
} as const;
