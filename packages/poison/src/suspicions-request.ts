import type {ToldSuspicion} from './lib/told-suspicion.js';

/** What a host tells a peer of suspected requests; the peer answers with what it knows beyond that. */
export type SuspicionsRequest = {
	readonly suspicions: readonly ToldSuspicion[];
	/** Whether to answer with all requests that are blocked. */
	readonly wantsBlocked: boolean;
};
