/** What bears on whether another hall is in reach. */
export type HallReachEvent =
	/** Bytes of an endpoint there came. */
	| {readonly type: 'heard'}
	/** An endpoint there took no connection. */
	| {readonly type: 'connect_failed'}
	/** Time passed. `waitsSince`: when the oldest request that still waits for an endpoint there was sent. */
	| {readonly type: 'ticked'; readonly waitsSince: number | undefined}
	| {readonly type: 'probe_ended'; readonly isReached: boolean};
