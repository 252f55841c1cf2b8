import type {ListedPeer} from './listed-peer.js';

/** The directory in which entry hosts list themselves and find each other. */
export type PeerDirectory = {
	/**
	Returns the secret that all hosts share. The first host to ask creates it. `undefined` if the secret could be neither read nor
	created, as while the directory is out of reach.

	@param known The secret that this host already knows. A directory that lost the secret takes it over.
	*/
	readonly shareSecret: (known?: string) => Promise<string | undefined>;
	/** Lists this host in the directory. `false` while the directory is out of reach. */
	readonly register: (self: ListedPeer) => Promise<boolean>;
	/** Returns the listed hosts. `undefined` while the directory is out of reach. */
	readonly list: () => Promise<readonly ListedPeer[] | undefined>;
};
