import {doublingDelay} from '@deckwheel/core';
import type {FinishedLoan} from './finished-loan.js';
import type {LoanPause} from './loan-pause.js';

/** The pause after a first loan that was too small, in ms. Allocators trust a record of the store that shows nothing left for about as long. */
const firstPauseMs = 250;

/** The longest pause, in ms. A caller whose request was refused for lack of rights is told to return no sooner. */
const maxPauseMs = 2000;

/**
Decides for how long peers are not asked again after a loan. Peers lend a part of whatever they have, so what they have left is no more than
they lent, and does not suffice for a request either. The pause doubles with each further loan in a row that is too small. Pure.

@param pause The pause so far, which may have ended; `undefined` if there was none.
@param now Monotonic ms.
@returns `undefined` if peers may be asked at once.
*/
export const stepLoanPause = (pause: LoanPause | undefined, {isEnough, isConclusive, hasReachedStore}: FinishedLoan, now: number): LoanPause | undefined => {
	if (isEnough) {
		return undefined;
	}

	if (!isConclusive) {
		return pause;
	}

	const isInRow = pause !== undefined && now < pause.until + maxPauseMs;
	const failures = isInRow ? pause.failures + 1 : 1;
	const pauseMs = doublingDelay({firstMs: firstPauseMs, maxMs: maxPauseMs, doublings: failures - 1});
	return {failures, until: now + pauseMs, hasReachedStore};
};
