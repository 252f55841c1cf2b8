import {expectedStartAt} from '../lib/expected-start-at.js';
import type {QueuedRequest} from './queued-request.js';
import type {QueueState} from './queue-state.js';

/**
Removes the requests that are not expected to start by their `startBy`, so that they are refused as soon as that is known. Pure.

@param now Monotonic ms.
@returns The remaining queue as `room`, and the removed requests.
*/
export const expireQueuedRequests = (queue: QueueState, now: number): {readonly room: QueueState; readonly expired: readonly QueuedRequest[]} => {
	const expired = queue.waiting.filter(request => expectedStartAt(queue, request, now) > request.startBy);
	return expired.length === 0
		? {room: queue, expired}
		: {room: {...queue, waiting: queue.waiting.filter(request => !expired.includes(request))}, expired};
};
