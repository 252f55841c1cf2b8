import {performance} from 'node:perf_hooks';
import type {Clock} from './clock.js';

/** The clocks of the operating system. */
export const systemClock: Clock = {
	wall: () => Date.now(),
	monotonic: () => performance.now(),
};
