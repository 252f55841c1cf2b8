import type {IncomingMessage} from 'node:http';

/** The result of sending a request to an endpoint, up to the head of the response. */
export type AttemptResult =
	/** The head of a response arrived; its body is still to be read. */
	| {readonly type: 'answered'; readonly response: IncomingMessage}
	/** The endpoint replied that it did not run the request. */
	| {readonly type: 'not_run'}
	/** Another process listens at the endpoint's address (status 421), and did not run the request. */
	| {readonly type: 'misdirected'}
	/** No connection came up, so no byte of the request reached the endpoint. `reason`: the code or message of the error. */
	| {readonly type: 'unsent'; readonly reason: string}
	/**
	The connection was up, and no usable response came: the endpoint may have run the request. `reason`: the code or message of the error, or what was
	wrong with the response. `isInvalid`: bytes came, and they are no response to this request.
	*/
	| {readonly type: 'lost'; readonly reason: string; readonly isInvalid: boolean};
