import type {FairShare} from '../request-queue/fair-share.js';

/** Returns the virtual time at which a member is due. Time in which it had nothing to start earns it no starts. */
export const dueAt = ({virtualTime, dueByMember}: FairShare, member: string): number =>
	Math.max(virtualTime, dueByMember.get(member) ?? 0);
