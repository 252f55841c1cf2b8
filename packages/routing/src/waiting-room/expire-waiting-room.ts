import {expectedStart} from '../lib/expected-start.js';
import type {WaitingRequest} from './waiting-request.js';
import type {WaitingRoom} from './waiting-room.js';

/** Takes out the requests that will not start in time, as soon as that shows, so that they are refused at once. */
export const expireWaitingRoom = (room: WaitingRoom, now: number): {readonly room: WaitingRoom; readonly expired: readonly WaitingRequest[]} => {
	const expired = room.waiting.filter(request => expectedStart(room, request, now) > request.startBy);
	return expired.length === 0
		? {room, expired}
		: {room: {...room, waiting: room.waiting.filter(request => !expired.includes(request))}, expired};
};
