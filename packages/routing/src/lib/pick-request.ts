import type {QueuedRequest} from '../request-queue/queued-request.js';
import type {QueueState} from '../request-queue/queue-state.js';
import {pickDue} from './pick-due.js';
import {shareKeys} from './share-keys.js';
import {shareOf} from './share-of.js';

/**
Picks the request that starts next: first the target that is due, then the organisation that is due there.

@param candidates Requests of one priority that can start; at least one.
*/
export const pickRequest = (shares: QueueState['shares'], candidates: readonly QueuedRequest[]): QueuedRequest => {
	const first = pickDue(shareOf(shares, shareKeys(candidates[0]!).targets), candidates, ({target}) => target);
	const ofTarget = candidates.filter(({target}) => target === first.target);
	return pickDue(shareOf(shares, shareKeys(first).organisations), ofTarget, ({organisation}) => organisation);
};
