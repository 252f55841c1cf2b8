import {blockedUntil} from './blocked-until.js';
import type {Suspicion} from './suspicion.js';

/** Whether a suspicion blocks its request at the time `now`, in monotonic ms. Pure. */
export const isBlockedAt = (suspicion: Suspicion, now: number): boolean => {
	const until = blockedUntil(suspicion);
	return until !== undefined && until > now;
};
