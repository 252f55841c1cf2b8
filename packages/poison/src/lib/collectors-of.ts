import {rankByRendezvous} from '@deckwheel/core';
import type {Peer} from '../peer.js';

/** Hosts of each hall that gather the ends of one request: one may be gone or cut off. */
const collectorsAHall = 2;

/**
The hosts that gather what is known of one request: the same ones wherever it comes in, so that its ends add up without each
host telling each other. Every hall has its own, since halls may be cut off from each other. Pure.
*/
export const collectorsOf = (request: string, hosts: readonly Peer[]): readonly Peer[] => {
	const halls = new Set(hosts.map(({hall}) => hall));
	return [...halls].flatMap(hall => {
		const byAddress = new Map(hosts.filter(host => host.hall === hall).map(host => [host.address, host]));
		return rankByRendezvous(request, [...byAddress.keys()]).slice(0, collectorsAHall).map(address => byAddress.get(address)!);
	});
};
