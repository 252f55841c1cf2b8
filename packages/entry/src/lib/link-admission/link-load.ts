import type {DirectionLoad} from './direction-load.js';

/** The load that requests put on the link of this host. */
export type LinkLoad = {
	readonly in: DirectionLoad;
	readonly out: DirectionLoad;
	/** By rank: for how long, in ms, the guaranteed share of the rank is used up by requests that were admitted by the guarantee. */
	readonly guaranteeUsedMs: readonly number[];
	/** The time up to which the load was drained, in monotonic ms. */
	readonly drainedAt: number;
};
