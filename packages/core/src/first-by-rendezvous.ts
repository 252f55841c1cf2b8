import {rendezvousWeight} from './lib/rendezvous-weight.js';

/**
Finds the member that `rankByRendezvous` lists first, without sorting the others. Returns `undefined` for an empty list.

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
