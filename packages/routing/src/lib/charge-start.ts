import type {FairShare} from '../request-queue/fair-share.js';
import {dueAt} from './due-at.js';

/**
Charges a start to a member. Drops members that have nothing queued and whose due time has passed, since they count like new ones.

@param cost The virtual time that the start takes.
@param isQueued Whether a member has a request in the queue.
*/
export const chargeStart = (share: FairShare, member: string, cost: number, isQueued: (member: string) => boolean): FairShare => {
	const virtualTime = dueAt(share, member);
	const kept = [...share.dueByMember].filter(([other, due]) => due > virtualTime || isQueued(other));
	return {virtualTime, dueByMember: new Map([...kept, [member, virtualTime + cost]])};
};
