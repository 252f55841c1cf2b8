import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {HallView} from './hall-view.js';

type Inputs = {
	/** This host, as it is listed in the directory. */
	readonly self: ListedPeer;
	/** All listed hosts, of every hall. */
	readonly listed: Iterable<ListedPeer>;
	/** Until when a peer that did not reply is under suspicion, by its address, in monotonic ms. */
	readonly suspectedUntil: ReadonlyMap<string, number>;
	/** Monotonic ms. */
	readonly now: number;
};

/** Decides which hosts of this host's hall count as reachable. Earlier incarnations at this host's own address are left out. Pure. */
export const viewHall = ({self, listed, suspectedUntil, now}: Inputs): HallView => {
	const suspected = new Map([...suspectedUntil].filter(([, until]) => until > now));
	const otherHosts = [...listed].filter(peer => peer.hall === self.hall && peer.address !== self.address);
	return {
		peers: [self, ...otherHosts.filter(({address}) => !suspected.has(address))],
		size: otherHosts.length + 1,
		validUntil: Math.min(Number.POSITIVE_INFINITY, ...suspected.values()),
	};
};
