import {
	fail, succeed, type Result, type Refusal,
} from '@deckwheel/core';
import {
	emptyRequestQueue, enqueueRequest, expireQueuedRequests, dequeueRequest, queueRetryAfterSeconds, type QueuedRequest, type QueueState,
} from '@deckwheel/routing';
import type {Context} from '../process/context.js';
import type {PlaceRequest} from './place-request.js';
import type {Place} from './place.js';
import type {RequestQueue} from './request-queue.js';

type Waiter = {
	readonly req: PlaceRequest;
	readonly resolve: (outcome: Result<Place, Refusal>) => void;
};

type Options = {
	/** Takes a place that has room now; `undefined` where there is none. */
	readonly takePlace: (request: PlaceRequest) => Place | undefined;
	/** Whether a place has room now. */
	readonly hasPlace: (request: PlaceRequest) => boolean;
	/** Called when a request begins to wait. */
	readonly onWait: () => void;
};

/** Creates an empty queue. Who may wait, who is next and who is refused is decided by the request queue of `routing`. */
export const createRequestQueue = ({clock, metrics}: Context, {takePlace, hasPlace, onWait}: Options): RequestQueue => {
	const waiters = new Map<number, Waiter>();
	let queue: QueueState = emptyRequestQueue;
	let nextId = 1;

	const overloaded = (): Result<Place, Refusal> => {
		metrics.count('queue.refused');
		return fail({
			code: 'overloaded',
			message: 'All endpoints are busy, and the request could not start in time.',
			ran: 'not_run',
			retryAfterSeconds: queueRetryAfterSeconds(queue),
		});
	};

	const turnAway = (requests: readonly QueuedRequest[]): void => {
		for (const {id} of requests) {
			const waiter = waiters.get(id);
			waiters.delete(id);
			waiter?.resolve(overloaded());
		}
	};

	const startNext = (): boolean => {
		const exit = dequeueRequest(queue, ({id}) => hasPlace(waiters.get(id)!.req), clock.monotonic());
		queue = exit.queue;
		if (!exit.next) {
			return false;
		}

		const {req, resolve} = waiters.get(exit.next.id)!;
		waiters.delete(exit.next.id);
		resolve(succeed(takePlace(req)!));
		return true;
	};

	return {
		async wait(request, maxQueued) {
			const {target, organisation, weight, priority, deadline} = request;
			const id = nextId++;
			const entry = enqueueRequest(queue, {
				id, target, organisation, weight, priority, startBy: deadline,
			}, maxQueued, clock.monotonic());
			queue = entry.queue;
			if (!entry.isAdmitted) {
				return overloaded();
			}

			onWait();
			return new Promise(resolve => {
				waiters.set(id, {req: request, resolve});
			});
		},
		isAhead: ({priority}) => queue.waiting.some(other => other.priority === priority || priority === 'slow' || other.priority === 'quick'),
		pump() {
			const {queue: next, expired} = expireQueuedRequests(queue, clock.monotonic());
			queue = next;
			turnAway(expired);
			while (queue.waiting.length > 0 && startNext()) {
				// Each turn starts one request.
			}

			metrics.gauge('queue.length', queue.waiting.length);
		},
		length: () => queue.waiting.length,
		turnAllAway() {
			turnAway(queue.waiting);
		},
	};
};
