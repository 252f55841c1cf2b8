import type {QueuedRequest} from '../request-queue/queued-request.js';
import type {QueueState} from '../request-queue/queue-state.js';
import {chargeStart} from './charge-start.js';
import {shareKeys} from './share-keys.js';
import {shareOf} from './share-of.js';

const sumOfWeights = (requests: readonly QueuedRequest[]): number => {
	const weights = new Map(requests.map(({organisation, weight}) => [organisation, weight]));
	return [...weights.values()].reduce((sum, weight) => sum + weight, 0);
};

/**
Charges a start to the request's target and organisation, and drops the shares of groups without a queued request.

A target weighs as much as all organisations that wait for it, so that an organisation's share does not depend on which target it asks for.

@param remaining The requests that stay in the queue.
*/
export const chargeRequest = (shares: QueueState['shares'], request: QueuedRequest, remaining: readonly QueuedRequest[]): QueueState['shares'] => {
	const {priority, target, organisation, weight} = request;
	const keys = shareKeys(request);
	const ofPriority = remaining.filter(other => other.priority === priority);
	const ofTarget = ofPriority.filter(other => other.target === target);
	const charged = new Map([
		...shares,
		[keys.targets, chargeStart(shareOf(shares, keys.targets), {
			member: target, cost: 1 / sumOfWeights([...ofTarget, request]), isQueued: member => ofPriority.some(other => other.target === member),
		})],
		[keys.organisations, chargeStart(shareOf(shares, keys.organisations), {
			member: organisation, cost: 1 / weight, isQueued: member => ofTarget.some(other => other.organisation === member),
		})],
	]);
	const queued = new Set(remaining.flatMap(other => Object.values(shareKeys(other))));
	return new Map([...charged].filter(([key]) => queued.has(key)));
};
