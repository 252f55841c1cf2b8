import type {HostAccount} from './host-account.js';
import {rateTimeConstantSeconds} from './rate-time-constant-seconds.js';

/** The shortest time over which demand is taken to have been observed, in seconds: a single early request is not a steady demand. */
const minObservedSeconds = 2;

/**
The demand on a budget at this host, in tokens per second.

The exponential average in the account starts at 0 and is too low at first. This function corrects it for the time observed so far, so
that a host that has just started holds enough rights to serve while it is cut off from the store.
*/
export const demandRate = ({rate, observedSeconds}: HostAccount): number =>
	rate / (1 - Math.exp(-Math.max(minObservedSeconds, observedSeconds) / rateTimeConstantSeconds));
