/** A change of a host's account on one budget (`stepAccount`). Amounts are tokens. */
export type AccountEvent =
	| {readonly type: 'reserved'; readonly tokens: number}
	| {readonly type: 'settled'; readonly reserved: number; readonly used: number}
	/** `total` is what the store has granted to this host: confirmed by a write, or lowered before a write that returns rights to the store. */
	| {readonly type: 'granted'; readonly total: number}
	/** Rights are given to the peer `to`: at most `tokens`, and at most the part `share` (0 to 1) of the available ones. */
	| {readonly type: 'lent'; readonly to: string; readonly tokens: number; readonly share: number}
	/** The peer `by` refused the tokens that were given to it last; they stay with this host. */
	| {readonly type: 'not_taken'; readonly by: string; readonly tokens: number}
	/** The peer `from` stated the total that it ever gave to this host. */
	| {readonly type: 'received'; readonly from: string; readonly total: number}
	/** A request of this host (`own_request`), or of a host that borrows from this one (`client`), demanded tokens. */
	| {readonly type: 'demanded'; readonly by: 'own_request' | 'client'; readonly tokens: number}
	/** Time has passed, by which the demand rate decays. */
	| {readonly type: 'aged'; readonly seconds: number};
