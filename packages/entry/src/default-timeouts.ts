import type {Timeouts} from './timeouts.js';

/**
The timeouts of a host unless its options set others, in ms.

Replies within a fleet take a few milliseconds, but a peer may have to draw rights from the store before it replies. With longer
timeouts a host finds more rights and keeps connections that are slow to open. Shorter ones leave a caller more time to retry.
*/
export const defaultTimeouts: Timeouts = {
	connectMs: 250,
	probeMs: 200,
	tunnelMs: 60,
	peerMs: 150,
	storeMs: 60,
	gatherMs: 80,
};
