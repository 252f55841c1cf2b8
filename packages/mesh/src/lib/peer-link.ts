import type {Link} from './link.js';

/** The link to one peer, whichever connection is in use for it. */
export type PeerLink = Link & {
	/** The time since the last bytes of the peer came, in ms; since the dial, while none have come. */
	readonly quietMs: () => number;
	/** Checks with a ping whether the link still works, because another link turned out to be silent. */
	readonly checkHealth: () => void;
};
