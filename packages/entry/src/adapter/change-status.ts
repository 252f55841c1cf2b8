/** Whether a topic of the store changed, as a peer of the hall that follows the topic in the store reports it. */
export type ChangeStatus =
	/** Something in the topic changed after the revision that this host asked about. */
	| {readonly type: 'changed'}
	/**
	Nothing in the topic changed after that revision: the peer knows all its changes up to the revision `at` of the store.
	`confirmedBeforeMs`: how long before the question came the store made the response that shows it, in ms; negative where it made the
	response later, and `undefined` where the peer does not tell.
	*/
	| {readonly type: 'unchanged'; readonly at: number; readonly confirmedBeforeMs?: number | undefined}
	/** No peer that has recently reached the store replied: this host has to read the store itself. */
	| {readonly type: 'unknown'};
