import type {QueuedRequest} from '../request-queue/queued-request.js';
import type {QueueState} from '../request-queue/queue-state.js';

const rankByPriority = {quick: 0, normal: 1, slow: 2} as const;

/** When a request will start, judged by those before it and the rate at which requests start. Monotonic ms. */
export const expectedStartAt = ({waiting, msPerStart}: QueueState, request: QueuedRequest, now: number): number => {
	const ahead = waiting.filter(({id, priority}) => rankByPriority[priority] < rankByPriority[request.priority] || (priority === request.priority && id < request.id));
	return now + (ahead.length * msPerStart);
};
