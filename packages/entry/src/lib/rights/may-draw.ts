import {unallocated, type BudgetRights} from '@deckwheel/ledger';

/** A store that was seen to have nothing left is not asked again for this long, in ms: others give back in the meantime. */
const emptyTrustMs = 300;

type Inputs = {
	/** The store's record of the budget; `undefined` while it was never read. */
	readonly rights: BudgetRights | undefined;
	/** Age of that record, in ms. */
	readonly ageMs: number;
	/** Whether the store may be called now: after failures there is a growing pause. */
	readonly mayCall: boolean;
	/** Whether this host is about to stop. */
	readonly isRetiring: boolean;
};

/** Decides whether a draw may bring something now, unless the store was seen to have nothing left a moment ago. Pure. */
export const mayDraw = ({rights, ageMs, mayCall, isRetiring}: Inputs): boolean => {
	const isSeenEmpty = rights !== undefined && ageMs < emptyTrustMs && unallocated(rights) < 1;
	return mayCall && !isRetiring && !isSeenEmpty;
};
