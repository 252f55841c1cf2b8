import type {RetryBudget} from './retry-budget.js';

/** Retries allowed for each request. */
const creditPerRequest = 0.1;

/** The most retries that can be saved up, so that a quiet time allows no burst. */
const maxCredit = 10;

/**
Notes a request, or takes one retry out of the budget. `isAllowed` tells whether the retry may be made.

For `deckwheeld`. On a platform, which states a ratio over a sliding window, `stepRetryWindow` decides.
*/
export const stepRetryBudget = ({credit}: RetryBudget, event: 'request' | 'retry'): {readonly budget: RetryBudget; readonly isAllowed: boolean} => {
	if (event === 'request') {
		return {budget: {credit: Math.min(maxCredit, credit + creditPerRequest)}, isAllowed: true};
	}

	return credit >= 1 ? {budget: {credit: credit - 1}, isAllowed: true} : {budget: {credit}, isAllowed: false};
};
