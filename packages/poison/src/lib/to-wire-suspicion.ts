import type {Suspicion} from './suspicion.js';
import type {WireSuspicion} from './wire-suspicion.js';

/** Turns a suspicion into the form that is sent to peers. `now` is this host's time in monotonic ms. Pure. */
export const toWireSuspicion = (request: string, {crashes, cleared}: Suspicion, now: number): WireSuspicion => ({
	request,
	ends: [...crashes].map(([endpoint, {sentAt, endedAt}]) => ({endpoint, sentAgoMs: now - sentAt, endedAgoMs: now - endedAt})),
	cleared: [...cleared],
});
