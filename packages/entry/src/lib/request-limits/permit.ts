/** Whether a request may be sent to an endpoint, as far as the endpoint's limit goes. */
export type Permit =
	| {readonly isGranted: true}
	/** When it is worth asking again, in monotonic ms. */
	| {readonly isGranted: false; readonly retryAt: number};
