/** What a host that follows the store itself may learn from a peer of its hall. */
export type ChangeStatus =
	/** Something changed after the revision that was asked about. */
	| {readonly type: 'changed'}
	/** Nothing had changed a moment ago; the peer knows the topic whole up to the revision `at` of the store. */
	| {readonly type: 'unchanged'; readonly at: number}
	/** No peer could be asked that reaches the store: this host has to look itself. */
	| {readonly type: 'unknown'};
