import type {DirectionLoad} from './direction-load.js';
import {leastUrgentRank} from './least-urgent-rank.js';
import type {LinkLoad} from './link-load.js';

const idle: DirectionLoad = {backlogMs: 0, urgentBacklogMs: 0, bytesPerMs: 0};

/** Returns the load of a link that carries nothing. `now`: monotonic ms. */
export const initialLinkLoad = (now: number): LinkLoad => ({
	in: idle,
	out: idle,
	guaranteeUsedMs: Array.from({length: leastUrgentRank + 1}, () => 0),
	drainedAt: now,
});
