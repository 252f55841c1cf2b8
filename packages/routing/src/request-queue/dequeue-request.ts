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

const pickPriority = (queue: QueueState, ready: readonly QueuedRequest[]) => {
	const present = priorities.filter(priority => ready.some(request => request.priority === priority));
	const total = present.reduce((sum, priority) => sum + turns[priority], 0);
	const credit = {...queue.credit};
	for (const priority of present) {
		credit[priority] += turns[priority];
	}

	const [chosen] = present.toSorted((a, b) => credit[b] - credit[a]);
	credit[chosen!] -= total;
	return {chosen: chosen!, credit};
};

const servedBy = (queue: QueueState, organisation: string): number => queue.served.get(organisation) ?? 0;

const pickRequest = (queue: QueueState, ready: readonly QueuedRequest[]): QueuedRequest =>
	ready.toSorted((a, b) =>
		servedBy(queue, a.organisation) - servedBy(queue, b.organisation) || a.startBy - b.startBy)[0]!;

// An organisation that was away must not come back with a claim on all the service it missed.
const chargeOrganisation = (queue: QueueState, request: QueuedRequest): ReadonlyMap<string, number> => {
	const present = new Set(queue.waiting.map(({organisation}) => organisation));
	const lowest = Math.min(...[...present].map(organisation => servedBy(queue, organisation)));
	const kept = [...queue.served].filter(([organisation]) => present.has(organisation));
	return new Map([...kept, [request.organisation, Math.max(lowest, servedBy(queue, request.organisation)) + (1 / request.weight)]]);
};

/**
Takes the next request out of the queue: by priority in turns, then by fair share
of the organisations, then the one that must start first.

@param canStart Whether an endpoint can take the request now.
@param now Monotonic ms.
*/
export const dequeueRequest = (queue: QueueState, canStart: (request: QueuedRequest) => boolean, now: number): Exit => {
	const ready = queue.waiting.filter(request => canStart(request));
	if (ready.length === 0) {
		return {queue};
	}

	const {chosen, credit} = pickPriority(queue, ready);
	const next = pickRequest(queue, ready.filter(({priority}) => priority === chosen));
	const waiting = queue.waiting.filter(({id}) => id !== next.id);
	const sinceLast = Math.min(longestGapMs, now - queue.lastStartAt);
	return {
		next,
		queue: {
			...queue,
			waiting,
			credit,
			served: chargeOrganisation(queue, next),
			msPerStart: smooth(queue.msPerStart, sinceLast),
			lastStartAt: now,
		},
	};
};
