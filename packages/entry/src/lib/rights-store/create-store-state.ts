import {doublingDelay} from '@deckwheel/core';
import type {Log} from '../../adapter/log.js';
import type {StoreState} from './store-state.js';

/** The delay after the first failed call before the store may be called again, in ms. It doubles with each further failure. */
const firstRetryDelayMs = 300;

/** The longest delay between two calls to a store that fails, in ms. With a shorter one, hosts notice a recovered store sooner, and hold more rights at the time when all hosts crash. */
const maxRetryDelayMs = 2000;

/**
Creates the state of a store that is assumed to be up.

@param now Monotonic ms.
*/
export const createStoreState = (log: Log, now: () => number): StoreState => {
	let isUp = true;
	/** When the store last went down or came up again, in monotonic ms. */
	let changedAt = Number.NEGATIVE_INFINITY;
	let failures = 0;
	let retryAt = 0;
	return {
		isUp: () => isUp,
		upSince: () => isUp ? changedAt : now(),
		downMs: () => isUp ? 0 : now() - changedAt,
		mayCall: () => now() >= retryAt,
		note(hasAnswered) {
			if (hasAnswered !== isUp) {
				isUp = hasAnswered;
				changedAt = now();
				log(isUp ? 'store_regained' : 'store_lost');
			}

			failures = hasAnswered ? 0 : failures + 1;
			retryAt = hasAnswered ? 0 : now() + doublingDelay({firstMs: firstRetryDelayMs, maxMs: maxRetryDelayMs, doublings: failures - 1});
		},
	};
};
