import type {EndedRun} from './ended-run.js';
import type {Suspicion} from './suspicion.js';

/**
What lies between two ends that are not one event, in ms, where both runs were under way at once: longer than a rack takes to go,
and short enough for a request of which several runs wait in the queues of endpoints.
*/
const apartMs = 1000;

const isNextEvent = (last: EndedRun, run: EndedRun): boolean => run.sentAt >= last.endedAt || run.endedAt - last.endedAt >= apartMs;

/**
The ends that one request may be to blame for, in order. Pure.

Each counted run was sent after the end before it, or ended well after it. So endpoints that end together, with a rack or a
release, count once, however many runs of a popular request they had under way.
*/
export const successiveEnds = ({ends, cleared}: Suspicion): readonly EndedRun[] => {
	const open = [...ends].filter(([endpoint]) => !cleared.has(endpoint)).map(([, run]) => run);
	const counted: EndedRun[] = [];
	for (const run of open.sort((a, b) => a.endedAt - b.endedAt)) {
		const last = counted.at(-1);
		if (!last || isNextEvent(last, run)) {
			counted.push(run);
		}
	}

	return counted;
};
