import {performance} from 'node:perf_hooks';
import type {Clock} from './clock.js';

/** The machine's own clocks. */
export const systemClock: Clock = {
	wall: () => Date.now(),
	monotonic: () => performance.now(),
};
