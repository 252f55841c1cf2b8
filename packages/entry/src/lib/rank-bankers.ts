import {rankByRendezvous} from '@deckwheel/core';
import type {ListedPeer} from '../listed-peer.js';
import {hostOfHolder} from './host-of-holder.js';

/** Hosts of one hall that draw rights on one budget: enough to outlive some, and few enough for the store at any size. */
const bankersPerHall = 4;

/**
Picks the hosts of a hall that draw a budget's rights from the store; the others borrow from them. In a small hall all do.

All hosts come to the same choice without asking, and a host keeps its place when it restarts.

@param peers Hosts of the hall, this one among them.
*/
export const rankBankers = (budget: string, peers: readonly ListedPeer[]): readonly ListedPeer[] => {
	const byHost = new Map(peers.map(peer => [hostOfHolder(peer.holder), peer]));
	return rankByRendezvous(budget, [...byHost.keys()]).slice(0, bankersPerHall).map(host => byHost.get(host)!);
};
