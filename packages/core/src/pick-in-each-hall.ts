import {groupBy} from './group-by.js';
import {rankByRendezvous} from './rank-by-rendezvous.js';

type Host = {
	/** `ip:port` */
	readonly address: string;
	readonly hall: string;
};

/**
Returns the hosts of each hall that rank first for a key by rendezvous hashing, at most `count` of a hall. Pure.

They are the same whichever host asks, and each hall has its own, since halls may be cut off from each other.
*/
export const pickInEachHall = <T extends Host>(key: string, hosts: readonly T[], count: number): readonly T[] =>
	[...groupBy(hosts, ({hall}) => hall).values()].flatMap(hallHosts => {
		const byAddress = new Map(hallHosts.map(host => [host.address, host]));
		return rankByRendezvous(key, [...byAddress.keys()]).slice(0, count).map(address => byAddress.get(address)!);
	});
