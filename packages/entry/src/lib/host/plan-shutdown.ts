import type {ShutdownPlan} from './shutdown-plan.js';

/**
For how long after the signal to stop new connections are accepted, in ms: the load balancer takes some time to notice that the host is
not ready.
*/
const lingerMs = 3000;

/**
How much earlier than the end of `lingerMs` the host ceases to forward every request, in ms. The linger counts from the sending of the
signal, and the process may notice the signal later by as much.
*/
const signalDelayMs = 250;

/** The part of the grace time that is kept for the return of rights to the store, in ms. */
const returnRightsMs = 1000;

/**
The part of the grace time that is kept for the exit of the process, in ms. A signal that is noticed late leaves less time before the kill,
and this part covers the difference.
*/
const exitMs = 200;

/**
The time between the deadline or the cut of a request and the end of its response, in ms: for a timer that fires late, and for writing the
response.
*/
const writeResponseMs = 200;

/**
Plans the shutdown of a host. Pure.

@param sentAfter The earliest instant at which the signal to stop may have been sent, in monotonic ms.
@param graceMs The time from the signal until the platform kills the process, in ms.
@param noticedAt When the host noticed the signal, in monotonic ms.
*/
export const planShutdown = (sentAfter: number, graceMs: number, noticedAt = sentAfter): ShutdownPlan => {
	const now = noticedAt;
	const waitForRequestsUntil = now + graceMs - returnRightsMs;
	const respondBy = waitForRequestsUntil - writeResponseMs;
	return {
		forwardAllUntil: Math.min(now + lingerMs - signalDelayMs, respondBy),
		listenUntil: Math.min(now + lingerMs, waitForRequestsUntil),
		respondBy,
		waitForRequestsUntil,
		cutRequestsAt: Math.max(waitForRequestsUntil, now + graceMs - exitMs - writeResponseMs),
		waitForFinalResponsesUntil: Math.max(waitForRequestsUntil, now + graceMs - exitMs),
		isForwardingOver: false,
	};
};
