import type {IncomingMessage} from 'node:http';
import type {RelayEnd} from '../relaying/relay-end.js';
import type {ResponseTrace} from '../response-ends/response-trace.js';

/** How one attempt at one endpoint ended. */
export type AttemptEnd =
	/** The attempt ended before a connection was open: no byte of the request reached the endpoint. */
	| {readonly type: 'unsent'}
	/** The endpoint's response says that it did not run the request. */
	| {readonly type: 'not_run'}
	/** Another process has the endpoint's address, and did not run the request (status 421). */
	| {readonly type: 'misdirected'}
	/**
	The request was sent and no whole response of the endpoint came, so the endpoint may have run the request.

	`reason` is `lost` when no response to the request began, and `broken` when its response was cut off or lacked the endpoint's
	stamp, or `too_long` when this host broke it off since it was longer than any may be. `relayed` is the part of a stream that the caller got;
	`isPartRelayed` says that it got a part of another response.

	`excess`: what a response did that is larger than one that is held. `too_long`: it was longer than any may be. `no_end`: the endpoint still sent at
	the end of the route's time, and the caller read. `no_room`: it could neither be held nor relayed.
	*/
	| {
		readonly type: 'lost';
		readonly reason: 'lost' | 'broken' | 'too_long';
		readonly relayed?: RelayEnd;
		readonly isPartRelayed?: boolean;
		readonly excess?: 'too_long' | 'no_end' | 'no_room';
		readonly trace?: ResponseTrace;
	}
	/** A whole response with a status of 500 or more, of which the caller has got nothing yet. */
	| {readonly type: 'server_error'; readonly response: IncomingMessage; readonly body: Uint8Array; readonly trace: ResponseTrace}
	/** A whole response with a lower status, of which the caller has got nothing yet. */
	| {readonly type: 'whole'; readonly response: IncomingMessage; readonly body: Uint8Array; readonly trace: ResponseTrace}
	/** A whole response that was too large to be held. The caller has all of it but its end, which the host still has to write. */
	| {readonly type: 'relayed'; readonly status: number; readonly trace: ResponseTrace}
	/** A stream that ended whole. The caller has all of it. */
	| {readonly type: 'streamed'; readonly status: number; readonly relayed: RelayEnd; readonly trace: ResponseTrace};
