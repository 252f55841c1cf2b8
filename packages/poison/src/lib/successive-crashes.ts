import type {CrashedRun} from './crashed-run.js';
import type {Suspicion} from './suspicion.js';

/**
The least time between the ends of two runs that were under way at once, in ms, for their crashes to count as separate events. It is
longer than the endpoints of one failing rack take to go down, and short enough to tell the crashes of one request apart when several
runs of the request wait in the queues of endpoints.
*/
const minSeparationMs = 1000;

const isSeparateCrash = (last: CrashedRun, run: CrashedRun): boolean => run.sentAt >= last.endedAt || run.endedAt - last.endedAt >= minSeparationMs;

/**
Returns the crashed runs that count against a request, by the time of their end. Pure.

Each counted run was sent after the previous counted run had ended, or ended well after it. So endpoints that go down together, with
a rack or for a release, count once, however many runs of a popular request they had under way.
*/
export const successiveCrashes = ({crashes, cleared}: Suspicion): readonly CrashedRun[] => {
	const uncleared = [...crashes].filter(([endpoint]) => !cleared.has(endpoint)).map(([, run]) => run);
	const counted: CrashedRun[] = [];
	for (const run of uncleared.sort((a, b) => a.endedAt - b.endedAt)) {
		const last = counted.at(-1);
		if (!last || isSeparateCrash(last, run)) {
			counted.push(run);
		}
	}

	return counted;
};
