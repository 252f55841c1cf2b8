import type {Log} from '../../adapter/log.js';
import type {StoreState} from './store-state.js';

/** The pause after a first failed call, in ms, doubled with each further one. */
const firstPauseMs = 300;

/** The longest pause, in ms. Shorter ones find the store sooner and have more held when all hosts die. */
const longestPauseMs = 2000;

/**
Creates the state of a store that is taken to answer.

@param now Monotonic ms.
*/
export const createStoreState = (log: Log, now: () => number): StoreState => {
	let isUp = true;
	/** When it last fell silent or answered again. */
	let changedAt = Number.NEGATIVE_INFINITY;
	let failures = 0;
	let retryAt = 0;
	return {
		isUp: () => isUp,
		upSince: () => isUp ? changedAt : now(),
		downMs: () => isUp ? 0 : now() - changedAt,
		mayCall: () => now() >= retryAt,
		note(isAnswered) {
			if (isAnswered !== isUp) {
				isUp = isAnswered;
				changedAt = now();
				log(isUp ? 'store_regained' : 'store_lost');
			}

			failures = isAnswered ? 0 : failures + 1;
			retryAt = isAnswered ? 0 : now() + Math.min(longestPauseMs, firstPauseMs * (2 ** (failures - 1)));
		},
	};
};
