/** What tells how late a host is. */
export type LatenessEvent =
	/** A timer fired, so late. */
	| {readonly type: 'timer_fired'; readonly lateMs: number}
	/** A connection within the hall took so long to come up, or was given up after this time. */
	| {readonly type: 'connected'; readonly tookMs: number}
	/** No connection was opened for some time, so nothing is known of the link. */
	| {readonly type: 'connected_none'};
