/** What a host remembers of a peer's replies to requests for tunnels. Times are in monotonic ms. */
export type PeerRecord = {
	/** The peer is not asked before this time. */
	readonly barredUntil: number;
	/** Up to this time the peer is asked before others, since it opened a tunnel. */
	readonly provenUntil: number;
	/** Up to this time the peer is asked after others, since it did not reach an endpoint. */
	readonly doubtedUntil: number;
	/** Whether the peer did not reply when it was last asked. */
	readonly isSilent: boolean;
	/** The tunnels through the peer that were open when it last replied. */
	readonly served: number;
};
