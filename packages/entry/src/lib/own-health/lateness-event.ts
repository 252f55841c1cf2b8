/** What tells how late a host is. */
export type LatenessEvent =
	/** A timer fired, so late. */
	| {readonly type: 'timer_fired'; readonly lateMs: number}
	/** A connection within the hall took so long to come up, or was given up after this time. */
	| {readonly type: 'connected'; readonly tookMs: number}
	/** Time passed, and the last connection came up fast, or none was opened for some time. */
	| {readonly type: 'link_calm'};
