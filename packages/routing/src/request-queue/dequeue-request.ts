import {smooth} from '../lib/smooth.js';
import type {Priority} from './priority.js';
import type {QueuedRequest} from './queued-request.js';
import type {QueueState} from './queue-state.js';

/** The queue without the next request, and that request; `next` is missing where no request of the queue can start. */
type DequeueResult = {readonly queue: QueueState; readonly next?: QueuedRequest};

/** How many requests of each priority start in a round while requests of all priorities wait. Slow requests still start under any load of quick ones. */
const priorityWeights: Readonly<Record<Priority, number>> = {quick: 16, normal: 4, slow: 1};

/** The maximum interval between two starts that enters the average, in ms. In a longer one the queue was empty, which says nothing about the rate of starts. */
const maxStartGapMs = 1000;
const priorities = ['quick', 'normal', 'slow'] as const;

const pickPriority = (queue: QueueState, ready: readonly QueuedRequest[]) => {
	const present = priorities.filter(priority => ready.some(request => request.priority === priority));
	const totalWeight = present.reduce((sum, priority) => sum + priorityWeights[priority], 0);
	const credit = {...queue.credit};
	for (const priority of present) {
		credit[priority] += priorityWeights[priority];
	}

	const [chosen] = present.toSorted((a, b) => credit[b] - credit[a]);
	credit[chosen!] -= totalWeight;
	return {chosen: chosen!, credit};
};

const servedTo = (queue: QueueState, organisation: string): number => queue.servedByOrganisation.get(organisation) ?? 0;

const pickRequest = (queue: QueueState, ready: readonly QueuedRequest[]): QueuedRequest =>
	ready.toSorted((a, b) =>
		servedTo(queue, a.organisation) - servedTo(queue, b.organisation) || a.startBy - b.startBy)[0]!;

// Counts the start as 1 / `weight` for the request's organisation, and drops the counts of organisations without a queued request.
// `lowestServed` is meant to keep an organisation that returns to the queue from getting all the starts that it missed.
const chargeOrganisation = (queue: QueueState, request: QueuedRequest): ReadonlyMap<string, number> => {
	const present = new Set(queue.waiting.map(({organisation}) => organisation));
	const lowestServed = Math.min(...[...present].map(organisation => servedTo(queue, organisation)));
	const kept = [...queue.servedByOrganisation].filter(([organisation]) => present.has(organisation));
	return new Map([...kept, [request.organisation, Math.max(lowestServed, servedTo(queue, request.organisation)) + (1 / request.weight)]]);
};

/**
Takes the next request out of the queue. Pure.

The priority is chosen by weighted round robin. Of that priority's requests, one of the organisation that has been served the least
for its weight is next; between equally served organisations, and within one, it is the request with the earliest `startBy`.

@param canStart Whether an endpoint has free capacity for the request now.
@param now Monotonic ms.
*/
export const dequeueRequest = (queue: QueueState, canStart: (request: QueuedRequest) => boolean, now: number): DequeueResult => {
	const ready = queue.waiting.filter(request => canStart(request));
	if (ready.length === 0) {
		return {queue};
	}

	const {chosen, credit} = pickPriority(queue, ready);
	const next = pickRequest(queue, ready.filter(({priority}) => priority === chosen));
	const waiting = queue.waiting.filter(({id}) => id !== next.id);
	const sinceLastMs = Math.min(maxStartGapMs, now - queue.lastStartedAt);
	return {
		next,
		queue: {
			...queue,
			waiting,
			credit,
			servedByOrganisation: chargeOrganisation(queue, next),
			msPerStart: smooth(queue.msPerStart, sinceLastMs),
			lastStartedAt: now,
		},
	};
};
