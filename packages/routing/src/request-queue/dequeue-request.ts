import {smooth} from '../lib/smooth.js';
import type {Priority} from './priority.js';
import type {QueuedRequest} from './queued-request.js';
import type {QueueState} from './queue-state.js';

/** The next request to start, if any may. */
type Exit = {readonly queue: QueueState; readonly next?: QueuedRequest};

/** How often each priority is served when all wait. Slow work goes on under any load of quick work. */
const turns: Readonly<Record<Priority, number>> = {quick: 16, normal: 4, slow: 1};

/** A longer gap means that nobody waited, which says nothing of the rate. In ms. */
const longestGapMs = 1000;
const priorities = ['quick', 'normal', 'slow'] as const;

const pickPriority = (room: QueueState, ready: readonly QueuedRequest[]) => {
	const present = priorities.filter(priority => ready.some(request => request.priority === priority));
	const total = present.reduce((sum, priority) => sum + turns[priority], 0);
	const credit = {...room.credit};
	for (const priority of present) {
		credit[priority] += turns[priority];
	}

	const [chosen] = present.toSorted((a, b) => credit[b] - credit[a]);
	credit[chosen!] -= total;
	return {chosen: chosen!, credit};
};

const servedBy = (room: QueueState, organisation: string): number => room.served.get(organisation) ?? 0;

const pickRequest = (room: QueueState, ready: readonly QueuedRequest[]): QueuedRequest =>
	ready.toSorted((a, b) =>
		servedBy(room, a.organisation) - servedBy(room, b.organisation) || a.startBy - b.startBy)[0]!;

// An organisation that was away must not come back with a claim on all the service it missed.
const chargeOrganisation = (room: QueueState, request: QueuedRequest): ReadonlyMap<string, number> => {
	const present = new Set(room.waiting.map(({organisation}) => organisation));
	const lowest = Math.min(...[...present].map(organisation => servedBy(room, organisation)));
	const kept = [...room.served].filter(([organisation]) => present.has(organisation));
	return new Map([...kept, [request.organisation, Math.max(lowest, servedBy(room, request.organisation)) + (1 / request.weight)]]);
};

/**
Takes the next request out of the queue: by priority in turns, then by fair share
of the organisations, then the one that must start first.

@param canStart Whether an endpoint can take the request now.
@param now Monotonic ms.
*/
export const dequeueRequest = (room: QueueState, canStart: (request: QueuedRequest) => boolean, now: number): Exit => {
	const ready = room.waiting.filter(request => canStart(request));
	if (ready.length === 0) {
		return {queue: room};
	}

	const {chosen, credit} = pickPriority(room, ready);
	const next = pickRequest(room, ready.filter(({priority}) => priority === chosen));
	const waiting = room.waiting.filter(({id}) => id !== next.id);
	const sinceLast = Math.min(longestGapMs, now - room.lastStartAt);
	return {
		next,
		queue: {
			...room,
			waiting,
			credit,
			served: chargeOrganisation(room, next),
			msPerStart: smooth(room.msPerStart, sinceLast),
			lastStartAt: now,
		},
	};
};
