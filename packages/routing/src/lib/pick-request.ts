import type {PriorityShare} from '../request-queue/priority-share.js';
import type {QueuedRequest} from '../request-queue/queued-request.js';

/**
Picks the request that is due first. Of those that are due already, the one that has been due longest is next, and of these the one with the
earliest `startBy`.

@param share The share of the requests' priority, advanced by `advanceShare`.
@param candidates The requests that can start; at least one.
*/
export const pickRequest = ({targets}: PriorityShare, candidates: readonly QueuedRequest[]): QueuedRequest => {
	const dueAt = ({target, organisation}: QueuedRequest): number => targets.get(target)!.dueByOrganisation.get(organisation)!;
	return candidates.toSorted((a, b) => dueAt(a) - dueAt(b) || a.startBy - b.startBy)[0]!;
};
