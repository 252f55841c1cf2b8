import type {Mesh} from '@deckwheel/mesh';
import type {ListedPeer} from '../listed-peer.js';

/** This host's links to its peers. */
export type PeerLinks = {
	/** `undefined` until this host is listed. */
	readonly mesh: () => Mesh | undefined;
	/** A peer by its name as a holder. An unknown one has the directory read again. */
	readonly peerOf: (holder: string) => ListedPeer | undefined;
	readonly close: () => Promise<void>;
};
