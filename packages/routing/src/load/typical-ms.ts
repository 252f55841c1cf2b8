import {median} from '../lib/median.js';
import type {PaceWindow} from './pace-window.js';

/** The fewest buckets that tell a speed. With fewer, one slow spell could decide the median. */
const minBuckets = 5;

/** For how long a sample counts, in ms: an endpoint that gets few requests because it was slow must get the chance to show that it no longer is. */
const maxAgeMs = 60_000;

/**
Returns the typical sample of an endpoint, in ms; `undefined` while too few are known.

It is the median of the medians of buckets. Each bucket counts once, however many samples it has, so a slow spell counts by its time and
not by the number of requests that end in it.
*/
export const typicalMs = (window: PaceWindow, now: number): number | undefined => {
	const recent = window.filter(({startedAt}) => now - startedAt < maxAgeMs);
	return recent.length < minBuckets ? undefined : median(recent.map(({samples}) => median(samples)!));
};
