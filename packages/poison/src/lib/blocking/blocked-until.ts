import {successiveCrashes} from '../successive-crashes.js';
import type {Suspicion} from '../suspicion.js';
import {crashesToBlock} from './crashes-to-block.js';

/**
The length of a first block, in ms, which doubles with each further crash. After the block the subject is tested
again: an endpoint of another version may survive it, and one that met three unrelated crashes is not blocked for long.
*/
const firstBlockMs = 120_000;

/** The most times that the block's length is doubled: the longest block ends within a day. */
const maxDoublings = 9;

/** When the block of a subject ends or ended, in monotonic ms; `undefined` when too few crashes count to block the request. Pure. */
export const blockedUntil = (suspicion: Suspicion): number | undefined => {
	const crashes = successiveCrashes(suspicion);
	if (crashes.length < crashesToBlock) {
		return undefined;
	}

	const doublings = Math.min(maxDoublings, crashes.length - crashesToBlock);
	return crashes.at(-1)!.endedAt + (firstBlockMs * (2 ** doublings));
};
