import type {WaitingRoom} from './waiting-room.js';

/** A queue in which nobody waits. */
export const emptyWaitingRoom: WaitingRoom = {
	waiting: [],
	served: new Map(),
	credit: {quick: 0, normal: 0, slow: 0},
	msPerStart: 10,
	lastStartAt: 0,
};
