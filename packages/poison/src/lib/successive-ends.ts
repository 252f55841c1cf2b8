import type {EndedRun} from './ended-run.js';
import type {Suspicion} from './suspicion.js';

/**
The ends that one request may be to blame for, in order. Pure.

Each counted run was sent after the one before it had ended its endpoint. So endpoints that end together, with a rack or a
release, count once, however many runs of a popular request they had under way.
*/
export const successiveEnds = ({ends, cleared}: Suspicion): readonly EndedRun[] => {
	const open = [...ends].filter(([endpoint]) => !cleared.has(endpoint)).map(([, run]) => run);
	const counted: EndedRun[] = [];
	for (const run of open.sort((a, b) => a.endedAt - b.endedAt)) {
		const last = counted.at(-1);
		if (!last || run.sentAt >= last.endedAt) {
			counted.push(run);
		}
	}

	return counted;
};
