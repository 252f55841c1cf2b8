import type {RightsSource} from '../rights/rights-source.js';
import type {LoanPause} from './loan-pause.js';
import type {LoanPauses} from './loan-pauses.js';
import {stepLoanPause} from './step-loan-pause.js';

const sources: readonly RightsSource[] = ['allocators', 'store', 'holders'];
const keyOf = (source: RightsSource, budget: string): string => `${source}\n${budget}`;

/**
Creates the record of loan pauses. Without it, each refused request on a budget that is used up asks all peers again and
writes to the store.

@param now Monotonic ms.
*/
export const createLoanPauses = (now: () => number): LoanPauses => {
	const pauses = new Map<string, LoanPause>();

	return {
		current(source, budget) {
			const pause = pauses.get(keyOf(source, budget));
			return pause && now() < pause.until ? pause : undefined;
		},
		note(source, budget, loan) {
			const key = keyOf(source, budget);
			const pause = stepLoanPause(pauses.get(key), loan, now());
			if (pause) {
				pauses.set(key, pause);
			} else {
				pauses.delete(key);
			}
		},
		end(budget) {
			for (const source of sources) {
				pauses.delete(keyOf(source, budget));
			}
		},
	};
};
