import {expectedStartAt} from '../lib/expected-start-at.js';
import type {Priority} from './priority.js';
import type {QueuedRequest} from './queued-request.js';
import type {QueueState} from './queue-state.js';

/** The queue after a request asked to enter it, and whether it did. */
type EnqueueResult = {readonly queue: QueueState; readonly isAdmitted: boolean};

/**
The share of the queue's maximum length, 0 to 1, up to which requests of each priority are admitted. Places are kept free for urgent
requests, so that no queued request has to be refused for a more urgent one that comes later.
*/
const maxShareOfQueue: Readonly<Record<Priority, number>> = {quick: 1, normal: 0.75, slow: 0.5};

/**
Adds a request to the queue if the queue has a place for its priority and the request is expected to start in time. Otherwise the
caller should refuse it at once. Pure.

@param maxQueued The maximum length of the queue.
@param now Monotonic ms.
*/
export const enqueueRequest = (queue: QueueState, request: QueuedRequest, maxQueued: number, now: number): EnqueueResult => {
	const isFull = queue.waiting.length >= maxQueued * maxShareOfQueue[request.priority];
	const isTooLate = expectedStartAt(queue, request, now) > request.startBy;
	return isFull || isTooLate
		? {queue, isAdmitted: false}
		: {queue: {...queue, waiting: [...queue.waiting, request]}, isAdmitted: true};
};
