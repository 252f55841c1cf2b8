import {rankByRendezvous} from '@deckwheel/core';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import {hostOfHolder} from '../rights-store/host-of-holder.js';
import {smallHall} from '../peers/small-hall.js';

/**
The number of hosts that draw rights for a hall that is not small: the first one draws, the second one is its standby. Each further host
would call the store too and conflict with the writes of the others.
*/
const allocatorsPerLargeHall = 2;

/**
Ranks the hosts of a hall that draw a slot's rights from the store (allocators). The other hosts borrow from them, and ask the first one first.

All budgets of a slot have the same allocators, so that few hosts write to the slot's object. All hosts that see the same peers compute the same
ranking without exchanging messages, and a host keeps its rank when it restarts.

@param peers The reachable hosts of the hall, this one among them.
@param hallSize The number of hosts listed for the hall, reachable or not: a large hall still counts as large while some of its hosts are unreachable.
*/
export const rankAllocators = (slot: number, peers: readonly ListedPeer[], hallSize: number): readonly ListedPeer[] => {
	const byHost = new Map(peers.map(peer => [hostOfHolder(peer.holder), peer]));
	const count = hallSize <= smallHall ? byHost.size : allocatorsPerLargeHall;
	return rankByRendezvous(`slot-${slot}`, [...byHost.keys()]).slice(0, count).map(host => byHost.get(host)!);
};
