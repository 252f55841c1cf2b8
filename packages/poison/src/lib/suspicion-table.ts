import type {Suspicion} from './suspicion.js';

/** What a host knows of suspected requests, by fingerprint. */
export type SuspicionTable = {
	readonly get: (request: string) => Suspicion | undefined;
	readonly isEmpty: () => boolean;
	/** Puts in what was learnt. */
	readonly merge: (request: string, learnt: Suspicion) => void;
	/** Until when a request is blocked, in monotonic ms; `undefined` when it is not blocked now. */
	readonly blockedUntil: (request: string) => number | undefined;
	/** The requests that are blocked now. */
	readonly blocked: () => readonly string[];
};
