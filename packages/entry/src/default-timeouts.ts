import type {Timeouts} from './timeouts.js';

/**
What a host waits for others, in ms. Links within a fleet answer in milliseconds; a peer may have to draw from the store
first. A longer time finds more rights or saves a connection, a shorter one leaves a caller more time to come back.
*/
export const defaultTimeouts: Timeouts = {
	connectMs: 250,
	probeMs: 200,
	peerMs: 150,
	storeMs: 60,
	gatherMs: 80,
};
