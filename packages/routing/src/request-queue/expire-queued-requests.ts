import {expectedStart} from '../lib/expected-start.js';
import type {QueuedRequest} from './queued-request.js';
import type {QueueState} from './queue-state.js';

/** Takes out the requests that will not start in time, as soon as that shows, so that they are refused at once. */
export const expireQueuedRequests = (room: QueueState, now: number): {readonly room: QueueState; readonly expired: readonly QueuedRequest[]} => {
	const expired = room.waiting.filter(request => expectedStart(room, request, now) > request.startBy);
	return expired.length === 0
		? {room, expired}
		: {room: {...room, waiting: room.waiting.filter(request => !expired.includes(request))}, expired};
};
