import type {FairShare} from '../request-queue/fair-share.js';
import type {QueuedRequest} from '../request-queue/queued-request.js';
import {dueAt} from './due-at.js';

/**
Picks the request whose member is due first. Of members that are due together, the one that has been due longer is next; between
these, and within one member, it is the request with the earliest `startBy`.

@param requests At least one request.
*/
export const pickDue = (share: FairShare, requests: readonly QueuedRequest[], memberOf: (request: QueuedRequest) => string): QueuedRequest => {
	const ranked = requests.map(request => {
		const member = memberOf(request);
		return {request, due: dueAt(share, member), dueSince: share.dueByMember.get(member) ?? share.virtualTime};
	});
	return ranked.toSorted((a, b) => a.due - b.due || a.dueSince - b.dueSince || a.request.startBy - b.request.startBy)[0]!.request;
};
