import type {Link} from './link.js';

/** The link that is kept to one peer, over whichever connection carries it. */
export type PeerLink = Link & {
	/** How long ago the peer's last bytes came, in ms; since the dial while none did. */
	readonly quietMs: () => number;
	/** Has the link examined, because another one turned out to carry nothing any more. */
	readonly doubt: () => void;
};
