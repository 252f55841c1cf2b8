import {partPrefix} from '../part-prefix.js';
import {successiveCrashes} from '../successive-crashes.js';
import type {Suspicion} from '../suspicion.js';
import {crashesToBlock} from './crashes-to-block.js';

type Accused = {readonly subject: string; readonly suspicion: Suspicion; readonly crashCount: number; readonly isProven: boolean; readonly isPart: boolean};

/** The strongest evidence first; where two have the same, the one without good ends, and a single request before a part. */
const byEvidence = (a: Accused, b: Accused): number =>
	b.crashCount - a.crashCount || Number(a.isProven) - Number(b.isProven) || Number(a.isPart) - Number(b.isPart) || (a.subject < b.subject ? -1 : 1);

const countCrashes = ({crashes, cleared}: Suspicion): number => [...crashes.keys()].filter(endpoint => !cleared.has(endpoint)).length;

/**
Decides which of the subjects under which endpoints crashed one after the other are to blame. Pure.

A crash is held against all that was under way at its endpoint. So the subject with the most crashes is blamed first, and its crashes
do not count against the others: one that has too few left was only under way beside it.

@param accused The suspicions that `blockedUntil` blocks or blocked, by their subjects.
@param isProven Whether a run of the subject came to a good end a while ago, before or between the crashes.
*/
export const blamedSubjects = (accused: ReadonlyMap<string, Suspicion>, isProven: (subject: string) => boolean): ReadonlySet<string> => {
	const ranked = [...accused].map(([subject, suspicion]): Accused => ({
		subject, suspicion, crashCount: countCrashes(suspicion), isProven: isProven(subject), isPart: subject.startsWith(partPrefix),
	})).sort(byEvidence);
	const blamed = new Set<string>();
	const explained = new Set<string>();
	for (const {subject, suspicion} of ranked) {
		const unexplained = {...suspicion, cleared: new Set([...suspicion.cleared, ...explained])};
		if (successiveCrashes(unexplained).length >= crashesToBlock) {
			blamed.add(subject);
			for (const endpoint of suspicion.crashes.keys()) {
				explained.add(endpoint);
			}
		}
	}

	return blamed;
};
