import type {ListedPeer} from '../../adapter/listed-peer.js';

/** What this host knows of the hosts of its own hall at one moment. */
export type HallView = {
	/** The reachable hosts: listed, and not under suspicion for a missing reply. This host comes first. */
	readonly peers: readonly ListedPeer[];
	/** How many hosts are listed, reachable or not, this host included. */
	readonly size: number;
	/** When the first suspicion ends and the view has to be made again, in monotonic ms; infinity without a suspicion. */
	readonly validUntil: number;
};
