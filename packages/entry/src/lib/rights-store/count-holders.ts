import type {BudgetRights} from '@deckwheel/ledger';

/**
Counts the hosts that the store records as holders of rights on a budget. This host counts as one, also while it has no entry.

@param self The name of this incarnation of the host as a holder of rights.
*/
export const countHolders = ({holders}: BudgetRights, self: string): number =>
	Object.keys(holders).filter(name => name.includes('#') && name !== self).length + 1;
