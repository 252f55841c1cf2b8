/** An event that shows how late a host is with its own work. */
export type LatenessEvent =
	/** A timer of this process fired `lateMs` ms late. */
	| {readonly type: 'timer_fired'; readonly lateMs: number}
	/** A connection to an endpoint of the host's own hall came up, or was given up, after `tookMs` ms. */
	| {readonly type: 'connected'; readonly tookMs: number}
	/** Time passed, and the last connection within the host's hall came up fast, or none was opened for some time. */
	| {readonly type: 'link_calm'};
