import type {QueuedRequest} from '../request-queue/queued-request.js';
import type {QueueState} from '../request-queue/queue-state.js';

const rankByPriority = {quick: 0, normal: 1, slow: 2} as const;

/**
Estimates when a request of the queue will start, in monotonic ms, from the number of requests before it and the rate at which
requests start. Requests before it are those of higher priority, and earlier ones of its own priority.

@param now Monotonic ms.
*/
export const expectedStartAt = ({waiting, msPerStart}: QueueState, request: QueuedRequest, now: number): number => {
	const ahead = waiting.filter(({id, priority}) => rankByPriority[priority] < rankByPriority[request.priority] || (priority === request.priority && id < request.id));
	return now + (ahead.length * msPerStart);
};
