import type {Suspicion} from './suspicion.js';
import type {ToldSuspicion} from './told-suspicion.js';

/** Translates what a peer told. `now` is monotonic ms of this host. Pure. */
export const hearSuspicion = ({ends, cleared}: ToldSuspicion, now: number): Suspicion => ({
	ends: new Map(ends.map(({endpoint, sentAgoMs, endedAgoMs}) => [endpoint, {sentAt: now - sentAgoMs, endedAt: now - endedAgoMs}])),
	cleared: new Set(cleared),
});
