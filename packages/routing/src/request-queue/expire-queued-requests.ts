import {expectedStart} from '../lib/expected-start.js';
import type {QueuedRequest} from './queued-request.js';
import type {QueueState} from './queue-state.js';

/** Takes out the requests that will not start in time, as soon as that shows, so that they are refused at once. */
export const expireQueuedRequests = (queue: QueueState, now: number): {readonly queue: QueueState; readonly expired: readonly QueuedRequest[]} => {
	const expired = queue.waiting.filter(request => expectedStart(queue, request, now) > request.startBy);
	return expired.length === 0
		? {queue, expired}
		: {queue: {...queue, waiting: queue.waiting.filter(request => !expired.includes(request))}, expired};
};
