import {rankByRendezvous} from '@deckwheel/core';
import type {ListedPeer} from '../../adapter/listed-peer.js';
import {hostOfHolder} from '../rights-store/host-of-holder.js';
import {smallHall} from '../peers/small-hall.js';

/**
Hosts of a larger hall that draw for it: the first does, the second stands by. Each more is one more that
calls the store and meets the others' writes there.
*/
const allocatorsOfLargeHall = 2;

/**
Ranks the hosts of a hall that draw a slot's rights from the store; the others borrow from them, from the first one first.

A slot's budgets share their allocators, so that few hosts write to its object. All hosts come to the same choice without
asking, and a host keeps its place when it restarts.

@param peers Hosts of the hall in reach, this one among them.
@param hallSize All hosts listed for the hall: a large hall stays one when some of them are out of reach.
*/
export const rankAllocators = (slot: number, peers: readonly ListedPeer[], hallSize: number): readonly ListedPeer[] => {
	const byHost = new Map(peers.map(peer => [hostOfHolder(peer.holder), peer]));
	const count = hallSize <= smallHall ? byHost.size : allocatorsOfLargeHall;
	return rankByRendezvous(`slot-${slot}`, [...byHost.keys()]).slice(0, count).map(host => byHost.get(host)!);
};
