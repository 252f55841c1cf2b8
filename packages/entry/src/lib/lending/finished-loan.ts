import type {LoanOutcome} from './loan-outcome.js';

/** A loan that peers were asked for, and whether it was of use. */
export type FinishedLoan = LoanOutcome & {
	/** Whether at least one of the requests that waited for the loan can be served. */
	readonly isEnough: boolean;
};
