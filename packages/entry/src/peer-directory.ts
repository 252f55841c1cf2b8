import type {ListedPeer} from './listed-peer.js';

/** Where entry hosts find each other. */
export type PeerDirectory = {
	/** Lists this host; `undefined` when the directory is out of reach. The answer is the secret that all hosts share. */
	readonly register: (self: ListedPeer) => Promise<string | undefined>;
	readonly list: () => Promise<readonly ListedPeer[] | undefined>;
};
