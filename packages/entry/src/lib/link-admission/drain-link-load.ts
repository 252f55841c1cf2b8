import type {DirectionLoad} from './direction-load.js';
import {guaranteedShare} from './guaranteed-share.js';
import type {LinkLoad} from './link-load.js';
import {plannedShare} from './planned-share.js';
import {rateTimeConstantMs} from './rate-time-constant-ms.js';
import {urgentPlannedShare} from './urgent-planned-share.js';

const drainDirection = ({backlogMs, urgentBacklogMs, bytesPerMs}: DirectionLoad, passedMs: number): DirectionLoad => ({
	backlogMs: Math.max(0, backlogMs - (passedMs * plannedShare)),
	urgentBacklogMs: Math.max(0, urgentBacklogMs - (passedMs * urgentPlannedShare)),
	bytesPerMs: bytesPerMs * Math.exp(-passedMs / rateTimeConstantMs),
});

/** Takes off a load what the link has carried up to `now`, in monotonic ms. However long the pause was, at most the backlog is taken off, and nothing is saved up. Pure. */
export const drainLinkLoad = (load: LinkLoad, now: number): LinkLoad => {
	const passedMs = Math.max(0, now - load.drainedAt);
	return {
		in: drainDirection(load.in, passedMs),
		out: drainDirection(load.out, passedMs),
		guaranteeUsedMs: load.guaranteeUsedMs.map((usedMs, rank) => Math.max(0, usedMs - (passedMs * plannedShare * guaranteedShare(rank)))),
		drainedAt: Math.max(load.drainedAt, now),
	};
};
