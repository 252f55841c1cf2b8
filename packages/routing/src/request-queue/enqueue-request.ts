import {expectedStart} from '../lib/expected-start.js';
import type {Priority} from './priority.js';
import type {QueuedRequest} from './queued-request.js';
import type {QueueState} from './queue-state.js';

/** What became of a request that wanted to wait. */
type Entry = {readonly queue: QueueState; readonly isAdmitted: boolean};

/**
The part of the places that each priority may fill. Places are kept for urgent work, so
that nobody who waits has to be turned away for a more urgent request that comes later.
*/
const shareOfPlaces: Readonly<Record<Priority, number>> = {quick: 1, normal: 0.75, slow: 0.5};

/** Lets a request wait, if it can start in time and there is a place. Otherwise it is to be refused at once. */
export const enqueueRequest = (queue: QueueState, request: QueuedRequest, limit: number, now: number): Entry => {
	const isFull = queue.waiting.length >= limit * shareOfPlaces[request.priority];
	const isTooLate = expectedStart(queue, request, now) > request.startBy;
	return isFull || isTooLate
		? {queue, isAdmitted: false}
		: {queue: {...queue, waiting: [...queue.waiting, request]}, isAdmitted: true};
};
