import type {EndedRun} from './ended-run.js';
import type {Suspicion} from './suspicion.js';

/** Endpoints remembered for one request: a bound on memory. Ends beyond those that a block doubles with add nothing. */
const maxEnds = 16;

// The earlier times are nearer to the truth: each host that passes ages on adds the time that the message took.
const earlier = (a: EndedRun | undefined, b: EndedRun): EndedRun =>
	a ? {sentAt: Math.min(a.sentAt, b.sentAt), endedAt: Math.min(a.endedAt, b.endedAt)} : b;

const newest = (ends: ReadonlyMap<string, EndedRun>): ReadonlyMap<string, EndedRun> =>
	new Map([...ends].sort(([, a], [, b]) => b.endedAt - a.endedAt).slice(0, maxEnds));

/** Puts together what two hosts know of one request. Pure; the same in any order, and when a part is merged twice. */
export const mergeSuspicions = (a: Suspicion, b: Suspicion): Suspicion => {
	const ends = new Map(a.ends);
	for (const [endpoint, run] of b.ends) {
		ends.set(endpoint, earlier(ends.get(endpoint), run));
	}

	const kept = newest(ends);
	return {ends: kept, cleared: new Set([...a.cleared, ...b.cleared].filter(endpoint => kept.has(endpoint)))};
};
