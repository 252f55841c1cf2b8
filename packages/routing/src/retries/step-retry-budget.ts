import type {RetryBudget} from './retry-budget.js';

/** The retries that each request adds to the budget. */
const creditPerRequest = 0.1;

/** The maximum number of retries that the budget can hold, so that no large burst of retries follows a time without retries. */
const maxCredit = 10;

/**
Adds the credit of a request to the budget, or takes one retry out of it. `isAllowed` tells whether the retry may be made. Pure.

`deckwheeld` uses it. On a platform, which states a ratio over a sliding window, entry hosts use `stepRetryWindow` instead.
*/
export const stepRetryBudget = ({credit}: RetryBudget, event: 'request' | 'retry'): {readonly budget: RetryBudget; readonly isAllowed: boolean} => {
	if (event === 'request') {
		return {budget: {credit: Math.min(maxCredit, credit + creditPerRequest)}, isAllowed: true};
	}

	return credit >= 1 ? {budget: {credit: credit - 1}, isAllowed: true} : {budget: {credit}, isAllowed: false};
};
