import type {CallerWait} from './caller-wait.js';

/** A caller that has read nothing for this long does not read any more, in ms. */
const maxUnreadMs = 5000;

/**
Creates the record of a response that is not relayed yet.

@param now Monotonic ms.
*/
export const createCallerWait = (now: () => number): CallerWait => {
	let isPaused = false;
	let hasWaited = false;
	let readAt = now();

	return {
		notePaused() {
			readAt = isPaused ? readAt : now();
			isPaused = true;
			hasWaited = true;
		},
		noteDrained() {
			isPaused = false;
			readAt = now();
		},
		takeWaited() {
			const isWaiting = hasWaited && now() - readAt < maxUnreadMs;
			hasWaited = isPaused;
			return isWaiting;
		},
	};
};
