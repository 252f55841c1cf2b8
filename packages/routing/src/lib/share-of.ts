import type {FairShare} from '../request-queue/fair-share.js';
import type {QueueState} from '../request-queue/queue-state.js';

const newShare: FairShare = {virtualTime: 0, dueByMember: new Map()};

/** Returns the share of a group, or a new one before the group's first start. */
export const shareOf = (shares: QueueState['shares'], key: string): FairShare => shares.get(key) ?? newShare;
