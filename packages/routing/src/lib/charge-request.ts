import type {PriorityShare} from '../request-queue/priority-share.js';
import type {QueuedRequest} from '../request-queue/queued-request.js';
import type {TargetShare} from '../request-queue/target-share.js';

// A target that was full has missed starts of its priority. All its organisations are due later, so their shares among each other stay as they are.
const postpone = ({virtualTime, dueByOrganisation}: TargetShare, by: number): TargetShare => ({
	virtualTime: virtualTime + by,
	dueByOrganisation: new Map([...dueByOrganisation].map(([organisation, due]) => [organisation, due + by])),
});

/**
Charges the start of a request to its organisation. An organisation that waits for several targets is charged as many times as much, so that it
gets no more than one that waits for one of them.

@param share The share of the request's priority, advanced by `advanceShare`.
@param targetCount The number of targets for which the organisation waits.
*/
export const chargeRequest = (share: PriorityShare, {target, organisation, weight}: QueuedRequest, targetCount: number): PriorityShare => {
	const before = share.targets.get(target)!;
	const dueSince = before.dueByOrganisation.get(organisation)!;
	const due = Math.max(share.virtualTime, dueSince);
	const {virtualTime, dueByOrganisation} = postpone(before, due - dueSince);
	const charged = new Map([...dueByOrganisation, [organisation, due + (targetCount / weight)]]);
	return {virtualTime: due, targets: new Map([...share.targets, [target, {virtualTime, dueByOrganisation: charged}]])};
};
