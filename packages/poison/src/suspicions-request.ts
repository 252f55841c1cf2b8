import type {WireSuspicion} from './lib/wire-suspicion.js';

/** The suspicions of requests that a host sends a peer. The peer replies with what it knows itself. */
export type SuspicionsRequest = {
	readonly suspicions: readonly WireSuspicion[];
	/** Whether the reply is to hold the requests that the peer has blocked as well. */
	readonly wantsBlocked: boolean;
};
