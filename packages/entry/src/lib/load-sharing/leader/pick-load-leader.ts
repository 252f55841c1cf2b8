import {firstByRendezvous} from '@deckwheel/core';
import type {ListedPeer} from '../../../adapter/listed-peer.js';

/**
Picks the load leader among the hosts of a hall: the same at every host that counts the same hosts as reachable. Returns `undefined` if
none is. Pure.

@param isSilent Whether the host at an address left a message unanswered a moment ago.
*/
export const pickLoadLeader = (hosts: readonly ListedPeer[], isSilent: (address: string) => boolean): ListedPeer | undefined => {
	const byAddress = new Map(hosts.filter(({address}) => !isSilent(address)).map(host => [host.address, host]));
	const address = firstByRendezvous('load leader', [...byAddress.keys()]);
	return address === undefined ? undefined : byAddress.get(address);
};
