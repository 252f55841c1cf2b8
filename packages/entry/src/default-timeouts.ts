import type {Timeouts} from './timeouts.js';

/** Links within a fleet answer in milliseconds; a peer may have to draw from the store first. */
export const defaultTimeouts: Timeouts = {
	connectMs: 250, probeMs: 200, peerMs: 150, storeMs: 60, gatherMs: 80,
};
