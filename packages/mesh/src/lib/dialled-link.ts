import type {Link} from './link.js';

/** One connection to a peer, from its dial to its close. */
export type DialledLink = Link & {
	/** Whether the handshake is done and the connection still open. */
	readonly isUp: () => boolean;
	/** Sends a WebSocket ping, to which the peer responds with a pong. */
	readonly ping: () => void;
};
