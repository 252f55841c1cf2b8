import {successiveEnds} from './successive-ends.js';
import type {Suspicion} from './suspicion.js';

/** Endpoints that a request ends before it is blocked: one may end by chance under anything, and two still do when many end at once. */
const endsToBlock = 3;

/**
How long a first block lasts, in ms, doubled with each further end: after it, the request is tried once more. An endpoint of another
version may bear it, and one that was only unlucky three times is not kept away for long.
*/
const firstBlockMs = 120_000;

/** Doublings of the block at most: it ends within a day. */
const maxDoublings = 9;

/** Until when a request is sent to no endpoint, in monotonic ms; `undefined` of one that never was blocked. Pure. */
export const blockedUntil = (suspicion: Suspicion): number | undefined => {
	const ends = successiveEnds(suspicion);
	if (ends.length < endsToBlock) {
		return undefined;
	}

	const doublings = Math.min(maxDoublings, ends.length - endsToBlock);
	return ends.at(-1)!.endedAt + (firstBlockMs * (2 ** doublings));
};
