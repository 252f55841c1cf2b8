/** Whether an endpoint's limit allows one request to be sent to it. */
export type Permit =
	| {readonly isGranted: true}
	/** `retryAt`: when it is worth asking again, in monotonic ms. */
	| {readonly isGranted: false; readonly retryAt: number};
