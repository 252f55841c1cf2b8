/** What bears on whether a link still carries anything. */
export type LinkHealthEvent =
	/** Bytes of the peer came over it. */
	| {readonly type: 'heard'}
	/** A request was given up without an answer. `sentAt`: when it was sent, in monotonic ms. */
	| {readonly type: 'unanswered'; readonly sentAt: number}
	/** Another link of this host turned out to carry nothing any more. */
	| {readonly type: 'doubted'}
	/** The time for the answer to a ping is over. */
	| {readonly type: 'ping_waited'}
	| {readonly type: 'replacement_up'}
	| {readonly type: 'replacement_failed'};
