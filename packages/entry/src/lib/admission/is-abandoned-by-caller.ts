import type {Bounds} from '../../adapter/bounds.js';

type Inputs = {
	/** How long it waited before it was read, in ms. */
	readonly waitedMs: number;
	/** How long its caller waits for the answer, in ms. */
	readonly callerMs: number;
	/** Whether it may run more than once: callers give up only what they may send again. */
	readonly isRetryable: boolean;
	readonly unreadTimeout: Bounds['unreadTimeout'];
};

/** Decides whether a caller has given a request up by now, since it was not read in time. Its close is still under way behind it. Pure. */
export const isAbandonedByCaller = ({waitedMs, callerMs, isRetryable, unreadTimeout}: Inputs): boolean =>
	unreadTimeout !== undefined && isRetryable && waitedMs >= Math.min(unreadTimeout.ms, callerMs * unreadTimeout.share);
