import type {Suspicion} from './suspicion.js';
import type {ToldSuspicion} from './told-suspicion.js';

/** Translates a suspicion for a peer. `now` is monotonic ms of this host. Pure. */
export const tellSuspicion = (request: string, {ends, cleared}: Suspicion, now: number): ToldSuspicion => ({
	request,
	ends: [...ends].map(([endpoint, {sentAt, endedAt}]) => ({endpoint, sentAgoMs: now - sentAt, endedAgoMs: now - endedAt})),
	cleared: [...cleared],
});
