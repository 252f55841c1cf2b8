import type {ConnectionArrival} from '../host/connection-arrival.js';

/**
The longest time, in ms, for which the end of a caller's connection may have been there unread when its request is sent. An endpoint works for nobody for
about as long; a host whose event loop turns several times in that time looks for the end no more often than that, since each look costs callers a turn.
*/
const maxUnseenMs = 400;

type Inputs = {
	/** The time up to which everything has been read that arrived at accepted connections of this host, in monotonic ms. */
	readonly readUpTo: number;
	/** When the request's connection came; `undefined` where that is not known. */
	readonly arrival: ConnectionArrival | undefined;
	/** Monotonic ms. */
	readonly now: number;
};

/**
Decides whether this host would have read the end of a caller's connection, had the caller left long ago. Pure.

Of a connection that was accepted after `readUpTo`, nothing behind the first bytes may have been read since it came into the accept queue.
*/
export const isCallerSeen = ({readUpTo, arrival, now}: Inputs): boolean => {
	const isNew = arrival !== undefined && arrival.acceptedAt > readUpTo;
	const seenAt = isNew ? Math.min(readUpTo, arrival.earliestAt) : readUpTo;
	return now - seenAt <= maxUnseenMs;
};
