import type {PairMap} from '@deckwheel/ledger';
import {hostOfIncarnation} from '../membership/host-of-incarnation.js';

/** The hosts that share a pair with this one, by name. Pure. */
export const partnersOf = ({pairs}: PairMap, self: string): ReadonlySet<string> => {
	const members = pairs
		.map(({primary, backup}) => [primary, backup])
		.filter(pair => pair.includes(self))
		.flat();
	return new Set(members.flatMap(member => member === undefined || member === self ? [] : [hostOfIncarnation(member)]));
};
