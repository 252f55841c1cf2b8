import {rankByRendezvous} from '@deckwheel/core';
import type {RequestKey} from '../request-key.js';

const issuedPattern = /^dw~(?<hall>[a-z\d.-]+)~(?<time>[\da-z]{6,10})~[\da-f]{24}$/;
const uuid7Pattern = /^(?<high>[\da-f]{8})-(?<low>[\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/i;

const timeOfUuid7 = (text: string): number | undefined => {
	const groups = uuid7Pattern.exec(text)?.groups;
	return groups && Number.parseInt(`${groups.high}${groups.low}`, 16);
};

/**
Reads a key that came with a request.

Each key has one home hall, the same wherever it arrives: an issued key names it,
any other key is given one by rendezvous hashing. So two halls that cannot reach
each other never both claim it.

@returns `undefined` when an issued key names a hall that there is not.
*/
export const readKey = (text: string, halls: readonly string[]): RequestKey | undefined => {
	const issued = issuedPattern.exec(text)?.groups;
	if (issued) {
		const home = issued.hall!;
		return halls.includes(home)
			? {
				text, home, madeAt: Number.parseInt(issued.time!, 36), isIssued: true,
			}
			: undefined;
	}

	const [home] = rankByRendezvous(text, halls);
	return home === undefined
		? undefined
		: {
			text, home, madeAt: timeOfUuid7(text), isIssued: false,
		};
};
