import type {Link} from './link.js';

/** One connection to a peer, from its dial to its end. */
export type DialledLink = Link & {
	/** Whether the handshake is done. */
	readonly isUp: () => boolean;
	/** Has the peer send something back. */
	readonly ping: () => void;
};
