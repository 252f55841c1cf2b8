import {groupBy} from '@deckwheel/core';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {HeardHalls} from './heard-halls.js';

/** The number of asked hosts of a hall that need not reply: one may be down, or restart. */
const absentPerHall = 1;

/**
Tells whether the replies to a question cover all halls. Pure.

A stream is told to hosts of each hall before its first event, its own included, so a hall whose hosts replied has no version that they do
not know of. Of a hall that did not reply nothing is known: it may be cut off, with its endpoints and its callers.

@param listAges How long ago the lists of endpoints of the hosts that replied were confirmed, in ms, by their addresses.
@param confirmMs The time within which a list is confirmed again while the store answers, in ms.
*/
export const judgeReplies = (asked: readonly ListedPeer[], listAges: ReadonlyMap<string, number>, confirmMs: number): HeardHalls => {
	const halls = [...groupBy(asked, ({hall}) => hall).values()];
	const isEnough = (maxAgeMs: number): boolean => halls.every(hosts =>
		hosts.filter(({address}) => (listAges.get(address) ?? Number.POSITIVE_INFINITY) <= maxAgeMs).length >= Math.max(1, hosts.length - absentPerHall));
	if (isEnough(confirmMs)) {
		return 'recent';
	}

	return isEnough(Number.MAX_VALUE) ? 'outdated' : 'partial';
};
