import type {Suspicion} from './suspicion.js';

/** The suspicions that a host holds, by their subjects: fingerprints of requests, and parts of prompts (`partSubjectOf`). */
export type SuspicionTable = {
	readonly get: (subject: string) => Suspicion | undefined;
	readonly isEmpty: () => boolean;
	/** Merges an update into the suspicion of a subject. */
	readonly merge: (subject: string, update: Suspicion) => void;
	/** The suspicions of subjects that their own crashes alone block, or blocked up to a while ago. */
	readonly accused: () => ReadonlyMap<string, Suspicion>;
};
