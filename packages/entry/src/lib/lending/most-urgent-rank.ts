import type {LoanNeed} from './loan-need.js';
import type {BorrowOptions} from './borrow-options.js';

/**
Decides how urgent a loan is that is requested for several requests: as urgent as the most urgent of them, so that no request waits for a less
urgent one. `undefined` if there are no requests, or if no rights are kept from one of them for others. Pure.
*/
export const mostUrgentRank = (needs: readonly LoanNeed[]): BorrowOptions['rank'] => {
	let rank: BorrowOptions['rank'];
	for (const {priority, tokens} of needs) {
		if (priority === undefined) {
			return undefined;
		}

		if (!rank || priority < rank.priority) {
			rank = {priority, tokens};
		}
	}

	return rank;
};
