import type {Suspicion} from './suspicion.js';

/** The suspicions that a host holds, by their subjects: fingerprints of requests, and parts of prompts (`partSubjectOf`). */
export type SuspicionTable = {
	readonly get: (subject: string) => Suspicion | undefined;
	readonly isEmpty: () => boolean;
	/** Merges an update into the suspicion of a subject. */
	readonly merge: (subject: string, update: Suspicion) => void;
	/** When the block of a subject ends that its own crashes alone would block, in monotonic ms; `undefined` when they do not block it now. */
	readonly blockedUntil: (subject: string) => number | undefined;
	/** The suspicions of subjects that their own crashes alone block, or blocked up to a while ago. */
	readonly accused: () => ReadonlyMap<string, Suspicion>;
};
