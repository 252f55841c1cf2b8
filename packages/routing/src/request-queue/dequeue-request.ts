import {chargeStart} from '../lib/charge-start.js';
import {pickDue} from '../lib/pick-due.js';
import {smooth} from '../lib/smooth.js';
import type {FairShare} from './fair-share.js';
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

const newShare: FairShare = {virtualTime: 0, dueByMember: new Map()};

// The targets of one priority share its starts, and the organisations of one target share the target's.
const organisationShareKey = ({priority, target}: QueuedRequest): string => `${priority}\n${target}`;

const shareOf = (queue: QueueState, key: string): FairShare => queue.shares.get(key) ?? newShare;

const pickRequest = (queue: QueueState, candidates: readonly QueuedRequest[], priority: Priority): QueuedRequest => {
	const first = pickDue(shareOf(queue, priority), candidates, ({target}) => target);
	const ofTarget = candidates.filter(({target}) => target === first.target);
	return pickDue(shareOf(queue, organisationShareKey(first)), ofTarget, ({organisation}) => organisation);
};

const totalWeight = (requests: readonly QueuedRequest[]): number => {
	const weights = new Map(requests.map(({organisation, weight}) => [organisation, weight]));
	return [...weights.values()].reduce((sum, weight) => sum + weight, 0);
};

// A target weighs as much as all organisations that wait for it, so that an organisation's share does not depend on which target it asks for.
const chargeRequest = (queue: QueueState, request: QueuedRequest, remaining: readonly QueuedRequest[]): QueueState['shares'] => {
	const {priority, target, organisation, weight} = request;
	const ofPriority = remaining.filter(other => other.priority === priority);
	const ofTarget = ofPriority.filter(other => other.target === target);
	const targetShare = chargeStart(shareOf(queue, priority), target, 1 / totalWeight([...ofTarget, request]), member => ofPriority.some(other => other.target === member));
	const key = organisationShareKey(request);
	const organisationShare = chargeStart(shareOf(queue, key), organisation, 1 / weight, member => ofTarget.some(other => other.organisation === member));
	const queued = new Set(remaining.flatMap(other => [other.priority, organisationShareKey(other)]));
	return new Map([...queue.shares, [priority, targetShare] as const, [key, organisationShare] as const].filter(([name]) => queued.has(name)));
};

/**
Takes the next request out of the queue. Pure.

The priority is chosen by weighted round robin. The starts of a priority are shared among its targets, and those of a target among
its organisations by their weights (`FairShare`). An organisation that joins the queue or returns to it gets no more than its share
from then on, and takes nothing from the others for starts that it missed.

@param canStart Whether an endpoint has free capacity for the request now.
@param now Monotonic ms.
*/
export const dequeueRequest = (queue: QueueState, canStart: (request: QueuedRequest) => boolean, now: number): DequeueResult => {
	const ready = queue.waiting.filter(request => canStart(request));
	if (ready.length === 0) {
		return {queue};
	}

	const {chosen, credit} = pickPriority(queue, ready);
	const next = pickRequest(queue, ready.filter(({priority}) => priority === chosen), chosen);
	const waiting = queue.waiting.filter(({id}) => id !== next.id);
	const sinceLastMs = Math.min(maxStartGapMs, now - queue.lastStartedAt);
	return {
		next,
		queue: {
			...queue,
			waiting,
			credit,
			shares: chargeRequest(queue, next, waiting),
			msPerStart: smooth(queue.msPerStart, sinceLastMs),
			lastStartedAt: now,
		},
	};
};
