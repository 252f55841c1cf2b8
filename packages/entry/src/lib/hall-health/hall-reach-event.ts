/** An event that bears on whether another hall is reachable. */
export type HallReachEvent =
	/** Bytes arrived from an endpoint of the hall. */
	| {readonly type: 'heard'}
	/** An endpoint of the hall accepted no connection. */
	| {readonly type: 'connect_failed'}
	/** Time passed. `oldestSentAt`: when the oldest open attempt at an endpoint of the hall began, in monotonic ms; `undefined` if none is open. */
	| {readonly type: 'ticked'; readonly oldestSentAt: number | undefined}
	/** A probe of the hall ended. `isReached`: whether the hall counts as reachable. */
	| {readonly type: 'probe_ended'; readonly isReached: boolean};
