/**
How far ahead a host holds rights (`holdingPolicyByRate` in ledger). More serves longer in a cut; less is stranded by a death
of all hosts, and a final one ends most days.
*/
export const holdingPolicySettings = {
	/**
	Of what remains of a budget, for all hosts together. A smaller part is used up sooner while the store is away; a larger one is
	stranded when all hosts die.
	*/
	shareOfRest: 0.6,
	/** Seconds of own demand: longer than most outages of the store, short enough for what a death strands. */
	horizonSeconds: 8,
	/**
	While the store has much left, outages cost more than deaths do: then hosts hold more than 8 s of demand, and again 8 s once what is
	left lasts for less than 27 s.
	*/
	longRest: {share: 0.3, mostHorizons: 1.75},
	/** Hosts without demand hold ready this part of what all hold, together. */
	idleShare: 0.3,
} as const;
