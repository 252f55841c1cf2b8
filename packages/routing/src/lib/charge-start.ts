import type {FairShare} from '../request-queue/fair-share.js';
import {dueAt} from './due-at.js';

type Start = {
	readonly member: string;
	/** The virtual time that the start takes. */
	readonly cost: number;
	/** Whether a member has a request in the queue. */
	readonly isQueued: (member: string) => boolean;
};

/** Charges a start to a member. Drops members that have nothing queued and whose due time has passed, since they count like new ones. */
export const chargeStart = (share: FairShare, {member, cost, isQueued}: Start): FairShare => {
	const virtualTime = dueAt(share, member);
	const kept = [...share.dueByMember].filter(([other, due]) => due > virtualTime || isQueued(other));
	return {virtualTime, dueByMember: new Map([...kept, [member, virtualTime + cost]])};
};
