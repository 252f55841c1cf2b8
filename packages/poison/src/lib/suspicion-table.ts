import type {Suspicion} from './suspicion.js';

/** The suspicions of requests that a host holds, by the request's fingerprint. */
export type SuspicionTable = {
	readonly get: (request: string) => Suspicion | undefined;
	readonly isEmpty: () => boolean;
	/** Merges an update into the suspicion of a request. */
	readonly merge: (request: string, update: Suspicion) => void;
	/** When the block of a request ends, in monotonic ms; `undefined` when the request is not blocked now. */
	readonly blockedUntil: (request: string) => number | undefined;
	/** The fingerprints of the requests that are blocked now, the most recently used first. */
	readonly blockedRequests: () => readonly string[];
};
