import type {IncomingMessage} from 'node:http';

/** How one try at one endpoint began. */
export type AttemptResult =
	/** An answer began. */
	| {readonly type: 'answered'; readonly response: IncomingMessage}
	/** The endpoint said that it did not run the request. */
	| {readonly type: 'not_run'}
	/** Another process has the endpoint's address, and did not run the request. */
	| {readonly type: 'misdirected'}
	/** No byte reached the endpoint. */
	| {readonly type: 'unsent'; readonly reason: string}
	/** The request was sent, and what came of it is not known. */
	| {readonly type: 'lost'; readonly reason: string};
