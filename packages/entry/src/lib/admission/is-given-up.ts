import type {Bounds} from '../../adapter/bounds.js';

type Inputs = {
	/** How long it waited before it was read, in ms. */
	readonly waitedMs: number;
	/** How long its caller waits for the answer, in ms. */
	readonly callerMs: number;
	/** Whether it may run more than once: callers give up only what they may send again. */
	readonly mayRunAgain: boolean;
	readonly patience: Bounds['unreadPatience'];
};

/** Decides whether a caller has given a request up by now, since it was not read in time. Its close is still under way behind it. Pure. */
export const isGivenUp = ({waitedMs, callerMs, mayRunAgain, patience}: Inputs): boolean =>
	patience !== undefined && mayRunAgain && waitedMs >= Math.min(patience.ms, callerMs * patience.share);
