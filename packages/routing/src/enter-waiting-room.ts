import type {WaitingRequest} from './waiting-request.js';
import type {WaitingRoom} from './waiting-room.js';

/** What became of a request that wanted to wait. */
type Entry = {
	readonly room: WaitingRoom;
	readonly isAdmitted: boolean;
	/** A request that gave up its place to a more urgent one. */
	readonly displaced?: WaitingRequest;
};

const order = {quick: 0, normal: 1, slow: 2} as const;

// The last in line: the least urgent, and among these the one that came last.
const lastInLine = (waiting: readonly WaitingRequest[]): WaitingRequest | undefined =>
	[...waiting].reverse().sort((a, b) => order[b.priority] - order[a.priority])[0];

/**
Lets a request wait, if it can start in time and there is a place.

In a full room, a more urgent request takes the place of the least urgent one, which is refused at once.
*/
export const enterWaitingRoom = (room: WaitingRoom, request: WaitingRequest, limit: number, now: number): Entry => {
	const ahead = room.waiting.filter(({priority}) => order[priority] <= order[request.priority]).length;
	const expectedStart = now + (ahead * room.msPerStart);
	if (expectedStart > request.startBy) {
		return {room, isAdmitted: false};
	}

	if (room.waiting.length < limit) {
		return {room: {...room, waiting: [...room.waiting, request]}, isAdmitted: true};
	}

	const last = lastInLine(room.waiting);
	if (!last || order[last.priority] <= order[request.priority]) {
		return {room, isAdmitted: false};
	}

	const waiting = [...room.waiting.filter(({id}) => id !== last.id), request];
	return {room: {...room, waiting}, isAdmitted: true, displaced: last};
};
