/** An event that bears on whether a link is silent: open, but without delivering anything. */
export type LinkHealthEvent =
	/** Bytes of the peer came over the link. */
	| {readonly type: 'heard'}
	/** A request over the link failed without a reply. `sentAt`: when the request was sent, in monotonic ms. */
	| {readonly type: 'unanswered'; readonly sentAt: number}
	/** Another link of this host turned out to be silent and was replaced. */
	| {readonly type: 'doubted'}
	/** The time to wait for the response to a ping (`pingTimeoutMs`) has passed. */
	| {readonly type: 'ping_waited'}
	/** The handshake of the second link is done. */
	| {readonly type: 'replacement_up'}
	/** The second link closed before its handshake was done. */
	| {readonly type: 'replacement_failed'};
