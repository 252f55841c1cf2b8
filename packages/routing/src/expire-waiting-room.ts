import type {WaitingRequest} from './waiting-request.js';
import type {WaitingRoom} from './waiting-room.js';

/** Takes out the requests that can no longer start in time, so that they are refused at once. */
export const expireWaitingRoom = (room: WaitingRoom, now: number): {readonly room: WaitingRoom; readonly expired: readonly WaitingRequest[]} => {
	const expired = room.waiting.filter(({startBy}) => startBy <= now);
	return expired.length === 0
		? {room, expired}
		: {room: {...room, waiting: room.waiting.filter(({startBy}) => startBy > now)}, expired};
};
