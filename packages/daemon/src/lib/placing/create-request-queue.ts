import {
	fail, succeed, type Outcome, type Refusal,
} from '@deckwheel/core';
import {
	emptyWaitingRoom, enterWaitingRoom, expireWaitingRoom, leaveWaitingRoom, retryAfter, type WaitingRequest, type WaitingRoom,
} from '@deckwheel/routing';
import type {Context} from '../process/context.js';
import type {PlaceRequest} from './place-request.js';
import type {Place} from './place.js';
import type {RequestQueue} from './request-queue.js';

type Waiter = {
	readonly req: PlaceRequest;
	readonly resolve: (outcome: Outcome<Place, Refusal>) => void;
};

type Options = {
	/** Takes a place that has room now; `undefined` where there is none. */
	readonly takePlace: (request: PlaceRequest) => Place | undefined;
	/** Whether a place has room now. */
	readonly hasPlace: (request: PlaceRequest) => boolean;
	/** Called when a request begins to wait. */
	readonly onWait: () => void;
};

/** Creates an empty queue. Who may wait, who is next and who is refused is decided by the waiting room of `routing`. */
export const createRequestQueue = ({clock, metrics}: Context, {takePlace, hasPlace, onWait}: Options): RequestQueue => {
	const waiters = new Map<number, Waiter>();
	let room: WaitingRoom = emptyWaitingRoom;
	let nextId = 1;

	const overloaded = (): Outcome<Place, Refusal> => {
		metrics.count('queue.refused');
		return fail({
			code: 'overloaded',
			message: 'All endpoints are busy, and the request could not start in time.',
			ran: 'not_run',
			retryAfterSeconds: retryAfter(room),
		});
	};

	const turnAway = (requests: readonly WaitingRequest[]): void => {
		for (const {id} of requests) {
			const waiter = waiters.get(id);
			waiters.delete(id);
			waiter?.resolve(overloaded());
		}
	};

	const startNext = (): boolean => {
		const exit = leaveWaitingRoom(room, ({id}) => hasPlace(waiters.get(id)!.req), clock.monotonic());
		room = exit.room;
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
			const entry = enterWaitingRoom(room, {
				id, target, organisation, weight, priority, startBy: deadline,
			}, maxQueued, clock.monotonic());
			room = entry.room;
			if (!entry.isAdmitted) {
				return overloaded();
			}

			onWait();
			return new Promise(resolve => {
				waiters.set(id, {req: request, resolve});
			});
		},
		isAhead: ({priority}) => room.waiting.some(other => other.priority === priority || priority === 'slow' || other.priority === 'quick'),
		pump() {
			const {room: next, expired} = expireWaitingRoom(room, clock.monotonic());
			room = next;
			turnAway(expired);
			while (room.waiting.length > 0 && startNext()) {
				// Each turn starts one request.
			}

			metrics.gauge('queue.length', room.waiting.length);
		},
		length: () => room.waiting.length,
		turnAllAway() {
			turnAway(room.waiting);
		},
	};
};
