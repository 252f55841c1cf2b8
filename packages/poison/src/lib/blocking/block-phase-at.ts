import type {Suspicion} from '../suspicion.js';
import {blockedUntil} from './blocked-until.js';

/** Whether the crashes of a suspicion block its subject at the time `now`, in monotonic ms, or did so up to then. Pure. */
export const blockPhaseAt = (suspicion: Suspicion | undefined, now: number): 'none' | 'blocked' | 'ended' => {
	const until = suspicion && blockedUntil(suspicion);
	if (until === undefined) {
		return 'none';
	}

	return until > now ? 'blocked' : 'ended';
};
