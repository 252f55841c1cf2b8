import {advanceShare} from '../lib/advance-share.js';
import {chargeRequest} from '../lib/charge-request.js';
import {pickRequest} from '../lib/pick-request.js';
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

/**
Takes the next request out of the queue. Pure.

The priority is chosen by weighted round robin. The starts of a priority are shared among organisations by their weights (`PriorityShare`).
An organisation that joins the queue or returns to it gets no more than its share from then on, and takes nothing from the others for
starts that it missed.

@param canStart Whether an endpoint has free capacity for the request now.
@param now Monotonic ms.
*/
export const dequeueRequest = (queue: QueueState, canStart: (request: QueuedRequest) => boolean, now: number): DequeueResult => {
	const ready = queue.waiting.filter(request => canStart(request));
	if (ready.length === 0) {
		return {queue};
	}

	const {chosen, credit} = pickPriority(queue, ready);
	const ofPriority = queue.waiting.filter(({priority}) => priority === chosen);
	const share = advanceShare(queue.shares[chosen], ofPriority);
	const next = pickRequest(share, ready.filter(({priority}) => priority === chosen));
	const targets = new Set(ofPriority.filter(({organisation}) => organisation === next.organisation).map(({target}) => target));
	const charged = chargeRequest(share, next, targets.size);
	const sinceLastMs = Math.min(maxStartGapMs, now - queue.lastStartedAt);
	return {
		next,
		queue: {
			...queue,
			waiting: queue.waiting.filter(({id}) => id !== next.id),
			credit,
			// Advanced again, so that an organisation which has left counts as new when it returns before the next start.
			shares: {...queue.shares, [chosen]: advanceShare(charged, ofPriority.filter(({id}) => id !== next.id))},
			msPerStart: smooth(queue.msPerStart, sinceLastMs),
			lastStartedAt: now,
		},
	};
};
