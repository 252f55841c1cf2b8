import {unallocated, type BudgetRights} from '@deckwheel/ledger';
import {emptyStoreTrustMs} from './empty-store-trust-ms.js';

type Inputs = {
	/** The store's record of the budget; `undefined` if this host has never read it. */
	readonly rights: BudgetRights | undefined;
	/** Age of that record, in ms. */
	readonly ageMs: number;
	/** Whether recent draws showed that the store has nothing left (`LoanPauses`). */
	readonly isPaused: boolean;
	/** Whether the store may be called now: after failed calls there is a pause that grows with each failure. */
	readonly mayCall: boolean;
	/** Whether this host is shutting down. It then draws nothing more. */
	readonly isRetiring: boolean;
};

/**
Decides whether a draw from the store may bring tokens now: the store may be called, this host is not shutting down, and no fresh record
shows that nothing is left. Pure.

A record that shows something left, after a top-up or once this host has read the slot again for another budget, ends a pause.
*/
export const mayDraw = ({rights, ageMs, isPaused, mayCall, isRetiring}: Inputs): boolean => {
	const isStoreEmpty = rights !== undefined && (isPaused || ageMs < emptyStoreTrustMs) && unallocated(rights) < 1;
	return mayCall && !isRetiring && !isStoreEmpty;
};
