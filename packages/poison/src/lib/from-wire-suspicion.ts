import type {Suspicion} from './suspicion.js';
import type {WireSuspicion} from './wire-suspicion.js';

/** Turns a suspicion that a peer sent into this host's times. `now` is this host's time in monotonic ms. Pure. */
export const fromWireSuspicion = ({ends, cleared}: WireSuspicion, now: number): Suspicion => ({
	crashes: new Map(ends.map(({endpoint, sentAgoMs, endedAgoMs}) => [endpoint, {sentAt: now - sentAgoMs, endedAt: now - endedAgoMs}])),
	cleared: new Set(cleared),
});
