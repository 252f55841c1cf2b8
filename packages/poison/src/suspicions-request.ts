import type {WireSuspicion} from './lib/wire-suspicion.js';

/** The suspicions that a host sends a peer. The peer replies with what it knows itself. */
export type SuspicionsRequest = {
	readonly suspicions: readonly WireSuspicion[];
	/** Whether the reply is to hold the subjects that the peer has blocked as well. */
	readonly wantsBlocked: boolean;
};
