import type {LoanOutcome} from './loan-outcome.js';
import type {LoanPause} from './loan-pause.js';

/** The pause after a first loan that brought nothing, in ms. Allocators trust a record of the store that shows nothing left for about as long. */
const firstPauseMs = 250;

/** The longest pause, in ms. A caller whose request was refused for lack of rights is told to return no sooner. */
const maxPauseMs = 2000;

/**
Decides for how long the peers are not asked again after a loan. Peers lend a part of whatever they have, so a loan that brought nothing
would have brought nothing for a smaller request either. The pause doubles with each further loan in a row that brings nothing. Pure.

@param pause The pause so far, which may have ended; `undefined` if there was none.
@param now Monotonic ms.
@returns `undefined` if peers may be asked at once.
*/
export const stepLoanPause = (pause: LoanPause | undefined, {hasReachedStore, supply}: LoanOutcome, now: number): LoanPause | undefined => {
	if (supply === 'unknown') {
		return pause;
	}

	if (supply === 'some') {
		return undefined;
	}

	const isInRow = pause !== undefined && now < pause.until + maxPauseMs;
	const failures = isInRow ? pause.failures + 1 : 1;
	return {failures, until: now + Math.min(maxPauseMs, firstPauseMs * (2 ** (failures - 1))), hasReachedStore};
};
