import {rendezvousWeight} from './lib/rendezvous-weight.js';

/**
Orders members for a key by rendezvous (highest random weight) hashing, highest weight first.

When a member is removed, only the keys whose first member it was get another first member.

@example
rankByRendezvous('budget-7', ['host-a', 'host-b'])[0];
*/
export const rankByRendezvous = (key: string, members: readonly string[]): readonly string[] =>
	members
		.map(member => ({member, weight: rendezvousWeight(key, member)}))
		.sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
		.map(({member}) => member);
