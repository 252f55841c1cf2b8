import type {ListedPeer} from '../../adapter/listed-peer.js';
import type {HallView} from './hall-view.js';

type Inputs = {
	/** This host, as it is listed. */
	readonly self: ListedPeer;
	/** All hosts that are listed. */
	readonly listed: Iterable<ListedPeer>;
	/** Addresses of peers that did not answer, and until when they are not counted on, in monotonic ms. */
	readonly suspectedUntil: ReadonlyMap<string, number>;
	readonly now: number;
};

/** Decides which hosts of the own hall are counted on. Pure. A host's earlier lives at its own address are left out. */
export const viewHall = ({self, listed, suspectedUntil, now}: Inputs): HallView => {
	const suspected = new Map([...suspectedUntil].filter(([, until]) => until > now));
	const near = [...listed].filter(peer => peer.hall === self.hall && peer.address !== self.address);
	return {
		peers: [self, ...near.filter(({address}) => !suspected.has(address))],
		size: near.length + 1,
		validUntil: Math.min(Number.POSITIVE_INFINITY, ...suspected.values()),
	};
};
