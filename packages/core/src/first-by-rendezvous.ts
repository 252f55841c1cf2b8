import {rendezvousWeight} from './lib/rendezvous-weight.js';

/**
The first of `rankByRendezvous`, without ordering the rest. `undefined` without members.

@example
firstByRendezvous('budget-7', ['host-a', 'host-b']);
*/
export const firstByRendezvous = (key: string, members: readonly string[]): string | undefined => {
	let best: string | undefined;
	let bestWeight = -1;
	for (const member of members) {
		const weight = rendezvousWeight(key, member);
		if (weight > bestWeight || (weight === bestWeight && member < best!)) {
			best = member;
			bestWeight = weight;
		}
	}

	return best;
};
