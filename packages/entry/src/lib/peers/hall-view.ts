import type {ListedPeer} from '../../adapter/listed-peer.js';

/** What a host knows of its own hall at one moment. */
export type HallView = {
	/** Hosts that are counted on, this one first. */
	readonly peers: readonly ListedPeer[];
	/** Hosts that are listed, counted on or not, this one among them. */
	readonly size: number;
	/** When the first suspicion ends, so that the view has to be made anew; monotonic ms. */
	readonly validUntil: number;
};
