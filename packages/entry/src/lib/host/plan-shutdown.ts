import type {ShutdownPlan} from './shutdown-plan.js';

/**
For how long after the signal to stop new connections are accepted, in ms: the load balancer takes some time to notice that the host is
not ready.
*/
const lingerMs = 3000;

/**
How late a host that runs may notice the signal to stop without a proof of when it was sent, in ms. `signalDelayMs` and `exitMs` cover the
difference.
*/
const calmDelayMs = 100;

/**
How much earlier than the end of `lingerMs` the host ceases to forward every request, in ms. The linger counts from the sending of the
signal, and the process may notice the signal later by as much.
*/
const signalDelayMs = 250;

/** The part of the grace time that is kept for the return of rights to the store, in ms. */
const returnRightsMs = 1000;

/**
The part of the grace time that is kept for the exit of the process, in ms. A signal that is noticed late leaves less time before the kill,
and this part covers what `calmDelayMs` does not count.
*/
const exitMs = 200;

/**
The time between the deadline or the cut of a request and the end of its response, in ms: for a timer that fires late, and for writing the
response.
*/
const writeResponseMs = 200;

/** The last part of the grace time, in which a host may end requests that are more than it could end later. */
const endExcessShare = 1 / 3;

/** The same for streams. The end of a stream that has begun is a broken response, which callers of a platform have to expect only in this part. */
const endStreamsShare = 1 / 6;

/**
For how long a host that noticed the signal when it should have ended all requests already waits for its final responses, in ms: the kill may
come later, and the exit of the process would cut them at once.
*/
const lastResponsesMs = 1000;

/**
Plans the shutdown of a host. Pure.

The grace time counts from `sentAfter`, since the platform kills the process that long after it sent the signal, whenever the process noticed
it. Only the time for which connections are accepted counts from `noticedAt`: the load balancer learns from this host that it stops. So a
host that noticed the signal late accepts connections whose requests it refuses, and their callers go elsewhere. Once all times have passed,
what is open ends at once.

@param sentAfter The earliest instant at which the signal to stop may have been sent, in monotonic ms.
@param graceMs The time from the signal until the platform kills the process, in ms.
@param noticedAt When the host noticed the signal, in monotonic ms.
*/
export const planShutdown = (sentAfter: number, graceMs: number, noticedAt = sentAfter): ShutdownPlan => {
	const from = Math.min(noticedAt, sentAfter + calmDelayMs);
	const waitForRequestsUntil = from + graceMs - returnRightsMs;
	const respondBy = waitForRequestsUntil - writeResponseMs;
	const cutRequestsAt = Math.max(waitForRequestsUntil, from + graceMs - exitMs - writeResponseMs);
	return {
		forwardAllUntil: Math.min(from + lingerMs - signalDelayMs, respondBy),
		listenUntil: Math.min(noticedAt + lingerMs, waitForRequestsUntil),
		respondBy,
		endExcessFrom: from + Math.ceil(graceMs * (1 - endExcessShare)),
		endStreamsFrom: from + Math.ceil(graceMs * (1 - endStreamsShare)),
		waitForRequestsUntil,
		cutRequestsAt,
		waitForFinalResponsesUntil: noticedAt > cutRequestsAt ? noticedAt + lastResponsesMs : Math.max(waitForRequestsUntil, from + graceMs - exitMs),
		isForwardingOver: false,
	};
};
