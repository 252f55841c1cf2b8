import type {HostAccount} from './host-account.js';
import {rateMemorySeconds} from './rate-memory-seconds.js';

/** A rate is not taken to have been observed for less than this: one early request is no steady demand. In seconds. */
const leastSeconds = 2;

/**
The demand on a budget at this host, in tokens a second.

An average that began at 0 is too low at first; what it still lacks is made up for, so that a host that started
a moment ago holds enough for a cut.
*/
export const demandRate = ({rate, observedSeconds}: HostAccount): number =>
	rate / (1 - Math.exp(-Math.max(leastSeconds, observedSeconds) / rateMemorySeconds));
