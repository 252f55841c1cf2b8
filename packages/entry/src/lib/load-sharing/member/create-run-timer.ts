import {msPerEvent} from '@deckwheel/routing';
import type {PaceSample} from '../wire/pace-sample.js';

/** Times the response to one request. */
type RunTimer = {
	readonly noteEvent: () => void;
	/** Returns what the response tells of the endpoint's speed; `undefined` if nothing. `how` is that of `TrackedRun.end`. */
	readonly end: (how: 'answered' | undefined) => Omit<PaceSample, 'endpoint'> | undefined;
};

/**
Creates a timer for a request that is sent now.

@param now Monotonic ms.
*/
export const createRunTimer = (now: () => number): RunTimer => {
	const sentAt = now();
	let firstAt = sentAt;
	let lastAt = sentAt;
	let events = 0;
	return {
		noteEvent() {
			lastAt = now();
			firstAt = events === 0 ? lastAt : firstAt;
			events++;
		},
		end(how) {
			if (events > 0) {
				const ms = msPerEvent({firstAt, lastAt, events});
				return ms === undefined ? undefined : {kind: 'event', ms};
			}

			return how === 'answered' ? {kind: 'response', ms: now() - sentAt} : undefined;
		},
	};
};
