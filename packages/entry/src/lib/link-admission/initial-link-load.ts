import {leastUrgentRank} from './least-urgent-rank.js';
import type {LinkLoad} from './link-load.js';

/** Returns the load of a link that carries nothing. `now`: monotonic ms. */
export const initialLinkLoad = (now: number): LinkLoad => ({
	in: {backlogMs: 0, bytesPerMs: 0},
	out: {backlogMs: 0, bytesPerMs: 0},
	guaranteeUsedMs: Array.from({length: leastUrgentRank + 1}, () => 0),
	drainedAt: now,
});
