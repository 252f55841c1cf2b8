/** What is done after a try at an endpoint ended. */
export type NextStep =
	/**
	Sends the request to another endpoint, once it has what it needs: a place in the service's retry budget, and rights for
	one more run. Where it cannot have these, `otherwise` is done.
	*/
	| {readonly type: 'send_elsewhere'; readonly needs: 'nothing' | 'retry' | 'retry_and_rights'; readonly otherwise: 'give_up' | 'pass_on'}
	/** Gives the caller the endpoint's answer. */
	| {readonly type: 'pass_on'}
	/** The caller has the whole answer. */
	| {readonly type: 'finish'}
	/** The host answers itself, by what is known of the runs (`decideOutcome`). */
	| {readonly type: 'give_up'};
