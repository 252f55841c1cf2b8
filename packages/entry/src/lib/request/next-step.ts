/** What the host does with a request after an attempt at an endpoint has ended. */
export type NextStep =
	/**
	Sends the request to another endpoint. `retry`: the retry limiter of the service has to allow it; `retry_and_rights`: rights for
	one more run have to be reserved as well. Where one of these is not to be had, the host takes the step `otherwise`.
	*/
	| {readonly type: 'send_elsewhere'; readonly needs: 'nothing' | 'retry' | 'retry_and_rights'; readonly otherwise: 'give_up' | 'pass_on'}
	/** Passes the endpoint's response on to the caller. */
	| {readonly type: 'pass_on'}
	/** Ends the request: the caller has the whole response. */
	| {readonly type: 'finish'}
	/** Ends the request with a refusal of the host, which depends on what is known of the runs (`decideOutcome`). */
	| {readonly type: 'give_up'};
