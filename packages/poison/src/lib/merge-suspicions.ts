import type {CrashedRun} from './crashed-run.js';
import type {Suspicion} from './suspicion.js';

/** The most crashes remembered of one request: a bound on memory. Crashes beyond those that still double the block have no effect. */
const maxCrashes = 16;

// The earlier times are the more accurate ones: a message carries ages, so each transfer makes a time later by the time in transit.
const earliestTimes = (a: CrashedRun | undefined, b: CrashedRun): CrashedRun =>
	a ? {sentAt: Math.min(a.sentAt, b.sentAt), endedAt: Math.min(a.endedAt, b.endedAt)} : b;

const keepNewest = (crashes: ReadonlyMap<string, CrashedRun>): ReadonlyMap<string, CrashedRun> =>
	new Map([...crashes].sort(([, a], [, b]) => b.endedAt - a.endedAt).slice(0, maxCrashes));

/**
Merges what two hosts know of one request. While no more than `maxCrashes` crashes are known, the order of merges and repeated merges
make no difference. Pure.
*/
export const mergeSuspicions = (a: Suspicion, b: Suspicion): Suspicion => {
	const crashes = new Map(a.crashes);
	for (const [endpoint, run] of b.crashes) {
		crashes.set(endpoint, earliestTimes(crashes.get(endpoint), run));
	}

	const kept = keepNewest(crashes);
	return {crashes: kept, cleared: new Set([...a.cleared, ...b.cleared].filter(endpoint => kept.has(endpoint)))};
};
