/**
How far ahead of its demand a host holds rights (the settings of `holdingPolicyByRate` in `packages/ledger`). With more rights a host
serves longer while it is cut off from the store; with fewer, a crash of all hosts strands fewer tokens, and most simulated days (`deploy/days`)
end with such a crash.
*/
export const holdingPolicySettings = {
	/**
	The part of what remains of a budget that all hosts together hold, 0 to 1. A smaller part is used up sooner while the store is out of
	reach; a larger part is stranded when all hosts crash.
	*/
	shareOfRest: 0.6,
	/** The demand of its own for which a host holds rights, in seconds: longer than most outages of the store, and short enough to limit what a crash strands. */
	horizonSeconds: 8,
	/**
	While the store has much left of a budget, outages of the store cost more than crashes do. Hosts then hold rights for more than 8 s of
	demand (at most 1.75 times as long), and for 8 s again once what the store has left lasts for less than 27 s.
	*/
	longRest: {share: 0.3, mostHorizons: 1.75},
	/** The part of the rights of all hosts that the hosts without demand hold together, 0 to 1. */
	idleShare: 0.3,
} as const;
