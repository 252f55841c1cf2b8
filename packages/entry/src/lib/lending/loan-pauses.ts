import type {RightsSource} from '../rights/rights-source.js';
import type {FinishedLoan} from './finished-loan.js';
import type {LoanPause} from './loan-pause.js';

/** The times during which a source of rights is not tried, by budget: peers are not asked for loans, and an empty store is not drawn from. */
export type LoanPauses = {
	/** The pause that holds now; `undefined` if the source may be tried. */
	readonly current: (source: RightsSource, budget: string) => LoanPause | undefined;
	/** Notes what came of a loan, or of a draw from the store. */
	readonly note: (source: RightsSource, budget: string, loan: FinishedLoan) => void;
	/** Ends the pauses of a budget that was topped up. */
	readonly end: (budget: string) => void;
};
