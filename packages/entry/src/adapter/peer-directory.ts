import type {ListedPeer} from './listed-peer.js';

/** Where entry hosts find each other. */
export type PeerDirectory = {
	/**
	The secret that all hosts share; the first host makes it. `undefined` while the directory is out of reach.

	@param known The secret as this host knows it, for a directory that lost it.
	*/
	readonly shareSecret: (known?: string) => Promise<string | undefined>;
	/** Lists this host. `false` while the directory is out of reach. */
	readonly register: (self: ListedPeer) => Promise<boolean>;
	readonly list: () => Promise<readonly ListedPeer[] | undefined>;
};
