import type {FinishedLoan} from './finished-loan.js';
import type {LoanNeed} from './loan-need.js';
import type {LoanPause} from './loan-pause.js';

/** The times during which peers are not asked for loans, by the source that they belong to and by budget. */
export type LoanPauses = {
	/** The pause that holds now; `undefined` if peers may be asked. */
	readonly current: (source: LoanNeed['source'], budget: string) => LoanPause | undefined;
	/** Notes what came of a loan. */
	readonly note: (source: LoanNeed['source'], budget: string, loan: FinishedLoan) => void;
	/** Ends the pauses of a budget that was topped up. */
	readonly end: (budget: string) => void;
};
