import type {Bounds} from '../../adapter/bounds.js';

type Inputs = {
	/** How long the request waited before this host read it, in ms. */
	readonly waitedMs: number;
	/** How long the caller waits for the response, in ms. */
	readonly callerMs: number;
	/** Whether the request may run more than once. Callers give up early only on requests that they may retry. */
	readonly isRetryable: boolean;
	/** How long callers wait for their request to be read before they send it elsewhere; `undefined` where that is not known. */
	readonly unreadTimeout: Bounds['unreadTimeout'];
};

/**
Decides whether a caller has given a request up because this host did not read it in time. Pure.

The wait is the only sign of that: this process reads the close of the caller's connection after the request.
*/
export const isAbandonedByCaller = ({waitedMs, callerMs, isRetryable, unreadTimeout}: Inputs): boolean =>
	unreadTimeout !== undefined && isRetryable && waitedMs >= Math.min(unreadTimeout.ms, callerMs * unreadTimeout.share);
