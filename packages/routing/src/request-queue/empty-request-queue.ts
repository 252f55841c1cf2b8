import type {QueueState} from './queue-state.js';

/** A queue without requests. It assumes a start each 10 ms until starts have been measured. */
export const emptyRequestQueue: QueueState = {
	waiting: [],
	shares: new Map(),
	credit: {quick: 0, normal: 0, slow: 0},
	msPerStart: 10,
	lastStartedAt: 0,
};
