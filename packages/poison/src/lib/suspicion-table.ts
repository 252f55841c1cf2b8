import type {Suspicion} from './suspicion.js';

/** What a host knows of suspected requests, by fingerprint. */
export type SuspicionTable = {
	readonly get: (request: string) => Suspicion | undefined;
	readonly isEmpty: () => boolean;
	/** Puts in what was learnt, and tells whether that changed anything. */
	readonly merge: (request: string, learnt: Suspicion) => boolean;
	/** Until when a request is blocked, in monotonic ms; `undefined` when it is not blocked now. */
	readonly blockedUntil: (request: string) => number | undefined;
	/** The requests that are blocked now. */
	readonly blocked: () => readonly string[];
};
