import type {PriorityShare} from './priority-share.js';
import type {QueueState} from './queue-state.js';

const newShare: PriorityShare = {virtualTime: 0, targets: new Map()};

/** A queue without requests. It assumes a start each 10 ms until starts have been measured. */
export const emptyRequestQueue: QueueState = {
	waiting: [],
	shares: {quick: newShare, normal: newShare, slow: newShare},
	credit: {quick: 0, normal: 0, slow: 0},
	msPerStart: 10,
	lastStartedAt: 0,
};
