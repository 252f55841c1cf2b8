import {blockedUntil} from './blocked-until.js';
import type {Suspicion} from './suspicion.js';

/** Whether a request is blocked at a moment, by what one host knows. `now` is monotonic ms. Pure. */
export const isBlockedAt = (suspicion: Suspicion, now: number): boolean => {
	const until = blockedUntil(suspicion);
	return until !== undefined && until > now;
};
