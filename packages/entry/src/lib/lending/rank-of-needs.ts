import type {LoanNeed} from './loan-need.js';
import type {LoanQuestion} from './loan-question.js';

/** Decides as what a question counts that is asked for several requests: as the most urgent of them, so that none of those waits behind another. Pure. */
export const rankOfNeeds = (needs: readonly LoanNeed[]): LoanQuestion['rank'] => {
	let rank: LoanQuestion['rank'];
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
